//! Clients take streams up after most VMs were killed at once.

use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::sleep;

use super::support::EntryVm;
use super::support::EAST;
use super::support::WEST;
use super::versioned_site::ClientStream;
use super::versioned_site::VersionedSite;
use super::versioned_site::GOSSIP_TIME;

const ZONES: [&str; 10] = [EAST, EAST, EAST, EAST, EAST, EAST, WEST, WEST, WEST, WEST];

/// 0.6 of the VMs, in both regions.
const FIRST_HERD: [usize; 6] = [0, 1, 2, 3, 6, 7];

/// The VMs that the first herd left, and two that started again.
const SECOND_HERD: [usize; 6] = [4, 5, 8, 9, 0, 6];

const STREAMS_PER_VM: usize = 4;

struct Herd {
    site: VersionedSite,
    vms: Vec<Option<EntryVm>>,
    ips: Vec<Ipv4Addr>,
    streams: Vec<ClientStream>,
}

impl Herd {
    /// Begins streams at the VMs of the first herd, and reads the first event of each.
    async fn begin() -> Self {
        let versions = ["v1", "v1.2"]
            .iter()
            .flat_map(|version| [EAST, EAST, WEST, WEST].map(|zone| (*version, zone)));
        let engines: Vec<(&str, &str)> = versions.collect();
        let site = VersionedSite::launch(&engines).await;
        site.set_pause(Duration::from_millis(150));
        let vms = site.launch_vms(&ZONES).await;
        let streams = FIRST_HERD.iter().flat_map(|vm| {
            let vm = &vms[*vm];
            (0..STREAMS_PER_VM).map(move |number| async move {
                let id = format!("r{number}-{}", vm.ip);
                ClientStream::begin(vm, &id, 1).await
            })
        });
        let streams = futures::future::join_all(streams).await;
        Self {
            ips: vms.iter().map(|vm| vm.ip).collect(),
            vms: vms.into_iter().map(Some).collect(),
            site,
            streams,
        }
    }

    async fn kill(&mut self, herd: &[usize]) {
        for vm in herd {
            let vm = self.vms[*vm].as_ref().expect("the VM runs");
            vm.signal("-KILL");
        }
        for vm in herd {
            self.vms[*vm] = None;
        }
        for stream in &mut self.streams {
            stream.finish().await;
        }
    }

    async fn restart(&mut self, herd: &[usize]) {
        let store = self.site.store.address();
        for vm in herd {
            let started = EntryVm::start(self.ips[*vm], ZONES[*vm], store, &self.ips);
            self.vms[*vm] = Some(started);
        }
        for vm in herd {
            let vm = self.vms[*vm].as_ref().expect("the VM was started");
            vm.wait_until(true).await;
        }
    }

    /// Takes the streams up at the VMs that run; returns how many are refused as their version is unknown.
    async fn take_up(&mut self) -> usize {
        let vms: Vec<&EntryVm> = self.vms.iter().flatten().collect();
        let requests = self.streams.iter().enumerate().map(|(number, stream)| {
            let id = format!("a-{}", stream.origin);
            let request = stream.take_up_request(vms[number % vms.len()], &id);
            async {
                let response = request.send().await.expect("an answer");
                let text = response.text().await.unwrap_or_default();
                usize::from(text.contains("version_unknown"))
            }
        });
        futures::future::join_all(requests).await.into_iter().sum()
    }
}

#[tokio::test]
async fn streams_of_a_herd_of_killed_vms_are_not_forgotten() {
    let mut herd = Herd::begin().await;
    herd.kill(&FIRST_HERD).await;
    let forgotten_count = herd.take_up().await;
    println!("{forgotten_count} of {} forgotten", herd.streams.len());
    assert!(
        forgotten_count * 10 <= herd.streams.len(),
        "{forgotten_count}"
    );
}

#[tokio::test]
async fn streams_are_not_forgotten_if_a_second_herd_of_vms_is_killed() {
    let mut herd = Herd::begin().await;
    herd.kill(&FIRST_HERD).await;
    herd.restart(&FIRST_HERD).await;
    sleep(GOSSIP_TIME).await;
    herd.kill(&SECOND_HERD).await;
    let forgotten_count = herd.take_up().await;
    println!("{forgotten_count} of {} forgotten", herd.streams.len());
    assert!(
        forgotten_count * 10 <= herd.streams.len(),
        "{forgotten_count}"
    );
}
