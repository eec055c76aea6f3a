//! VMs whose links to the endpoints can fail, each by itself.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::LinkProxy;
use figramp::stand_in::deployment::LinkState;
use figramp::stand_in::deployment::StoreServer;
use tokio::time::sleep;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::KEY;

/// The paths of each kind of route.
pub(super) const PATHS: [&str; 4] = ["/read/x", "/book/x", "/stream/x", "/tip-stream/x"];

/// The time after which a partitioned VM is expected to serve, as the users' `stableWindowMs`.
pub(super) const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// A VM with a store of its own, which lists the endpoints at the VM's own proxies.
pub(super) struct LinkedVm {
    pub(super) vm: Arc<EntryVm>,
    _store: StoreServer,
    links: Vec<LinkProxy>,
}

impl LinkedVm {
    pub(super) fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set_link(state);
        }
    }
}

/// Two endpoints of each service in each of some zones, and VMs.
pub(super) struct PartitionedSite {
    pub(super) endpoints: Vec<EndpointServer>,
    pub(super) vms: Vec<LinkedVm>,
}

impl PartitionedSite {
    pub(super) async fn launch(endpoint_zones: &[&str], vm_zones: &[&str]) -> Self {
        let mut endpoints = Vec::new();
        for zone in endpoint_zones {
            for (number, service) in ["plain", "engine"].into_iter().cycle().take(4).enumerate() {
                let id = format!("{zone}-{service}-{number}");
                let endpoint = EndpointServer::launch(any_port(), &id, service, zone).await;
                endpoints.push(endpoint.expect("an endpoint"));
            }
        }
        let ips: Vec<Ipv4Addr> = vm_zones.iter().map(|_| new_ip()).collect();
        let mut vms = Vec::new();
        for (ip, zone) in ips.iter().zip(vm_zones) {
            vms.push(launch_vm(*ip, zone, &endpoints, &ips).await);
        }
        for linked in &vms {
            linked.vm.wait_until(true).await;
        }
        sleep(Duration::from_millis(1_500)).await;
        Self { endpoints, vms }
    }

    pub(super) fn runs(&self, request_id: &str) -> u32 {
        let endpoints = self.endpoints.iter();
        endpoints
            .map(|endpoint| endpoint.run_count(request_id))
            .sum()
    }

    /// Sends requests to some of the VMs in turn for a time; returns the answers.
    pub(super) async fn send(
        &self,
        vms: &[usize],
        path: &'static str,
        time: Duration,
    ) -> Vec<SentRequest> {
        let started = Instant::now();
        let mut answers = Vec::new();
        while started.elapsed() < time {
            let vm = Arc::clone(&self.vms[vms[answers.len() % vms.len()]].vm);
            let id = format!("{path}-{started:?}-{}", answers.len());
            answers.push(tokio::spawn(async move {
                let sent_at = Instant::now();
                let status = match vm.post(path, &id).send().await {
                    Err(_) => 0,
                    Ok(answer) => {
                        let status = answer.status().as_u16();
                        answer.text().await.map_or(0, |_| status)
                    }
                };
                SentRequest {
                    id,
                    status,
                    took: sent_at.elapsed(),
                }
            }));
            sleep(REQUEST_INTERVAL).await;
        }
        let answers = futures::future::join_all(answers).await;
        let answers = answers.into_iter();
        answers.map(|answer| answer.expect("an answer")).collect()
    }
}

async fn launch_vm(
    ip: Ipv4Addr,
    zone: &str,
    endpoints: &[EndpointServer],
    seeds: &[Ipv4Addr],
) -> LinkedVm {
    let store = StoreServer::launch(any_port()).await.expect("a store");
    let mut configuration = configuration(1, &[KEY]);
    configuration["services"][1]["coldStartS"] = 0.into();
    store.put("op/config", configuration.to_string());
    let mut links = Vec::new();
    for endpoint in endpoints {
        let link = LinkProxy::launch(any_port(), endpoint.address()).await;
        let link = link.expect("a proxy");
        store.put(&endpoint.key(), endpoint.record_at(link.address(), "ready"));
        links.push(link);
    }
    LinkedVm {
        vm: Arc::new(EntryVm::start(ip, zone, store.address(), seeds)),
        _store: store,
        links,
    }
}

/// A request and the status of its answer; zero for one that is not whole.
#[derive(Debug)]
pub(super) struct SentRequest {
    pub(super) id: String,
    pub(super) status: u16,
    pub(super) took: Duration,
}

pub(super) fn served_count(requests: &[SentRequest]) -> usize {
    let served = requests.iter().filter(|request| request.status == 200);
    served.count()
}
