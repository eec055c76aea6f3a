//! Regions with endpoints that crash under one part of a prompt or under one request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::CrashingRequest;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::StoreServer;
use reqwest::RequestBuilder;
use tokio::time::sleep;
use tokio::time::timeout;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::EAST;
use super::support::KEY;
use super::support::NORTH;
use super::support::WEST;

/// The bound of the platform that times of crashes are measured by, as in the daemons' settings.
pub(crate) const STABLE_WINDOW: Duration = Duration::from_millis(5_000);

/// The number of crashes after which a part may reach only a few endpoints more.
pub(crate) const CRASH_LIMIT: usize = 5;

pub(crate) const CRASHING_PART: &str = "bad0c4a5";
const ENGINES_PER_ZONE: usize = 4;
const POLL_PERIOD: Duration = Duration::from_millis(5);

/// The time that gossip needs to reach each VM.
const GOSSIP_TIME: Duration = Duration::from_millis(1_200);

/// The paths of a resumable stream and of one that is not.
const STREAM_PATHS: [&str; 2] = ["/stream/x", "/tip-stream/x"];

/// A store and the endpoints of some regions, which restart under new identifiers after a crash.
pub(super) struct CrashSite {
    pub(super) store: StoreServer,
    pub(super) engines: Vec<EndpointServer>,
}

impl CrashSite {
    pub(super) async fn launch(event_pause: Duration, restart_delay: Duration) -> Arc<Self> {
        let faults = EndpointFaults {
            crashing_part: Some(CRASHING_PART.to_owned()),
            pause: event_pause,
            ..EndpointFaults::default()
        };
        let engines = [EAST, WEST].map(|zone| [(zone, "engine"); ENGINES_PER_ZONE]);
        Self::launch_endpoints(engines.as_flattened(), &faults, restart_delay).await
    }

    /// Starts an endpoint of each service in each of three regions, which crash under some requests.
    pub(super) async fn launch_three_regions(
        crashing_requests: Vec<CrashingRequest>,
        pause: Duration,
        restart_delay: Duration,
    ) -> Arc<Self> {
        let faults = EndpointFaults {
            crashing_requests,
            pause,
            ..EndpointFaults::default()
        };
        let endpoints = [EAST, WEST, NORTH].map(|zone| [(zone, "plain"), (zone, "engine")]);
        Self::launch_endpoints(endpoints.as_flattened(), &faults, restart_delay).await
    }

    /// Starts endpoints in these zones, of these services.
    async fn launch_endpoints(
        endpoints: &[(&str, &str)],
        faults: &EndpointFaults,
        restart_delay: Duration,
    ) -> Arc<Self> {
        let store = StoreServer::launch(any_port()).await.expect("a store");
        store.put("op/config", configuration(1, &[KEY]).to_string());
        let mut engines = Vec::new();
        for (number, (zone, service)) in endpoints.iter().enumerate() {
            let id = format!("{zone}-{number}");
            let endpoint = EndpointServer::launch(any_port(), &id, service, zone).await;
            let endpoint = endpoint.expect("an endpoint");
            endpoint.set_faults(faults.clone());
            store.put(&endpoint.key(), endpoint.record("ready"));
            engines.push(endpoint);
        }
        let site = Arc::new(Self { store, engines });
        tokio::spawn(Arc::clone(&site).restart_crashed(restart_delay));
        site
    }

    /// Starts one VM in each of these zones and waits until they know each other.
    pub(super) async fn launch_vms<const COUNT: usize>(
        &self,
        zones: [&str; COUNT],
    ) -> [Arc<EntryVm>; COUNT] {
        let seeds = zones.map(|_| new_ip());
        let mut vms = Vec::new();
        for (ip, zone) in seeds.into_iter().zip(zones) {
            vms.push(Arc::new(
                EntryVm::launch(ip, zone, &self.store, &seeds).await,
            ));
        }
        sleep(GOSSIP_TIME).await;
        vms.try_into().ok().expect("a VM for each zone")
    }

    async fn restart_crashed(self: Arc<Self>, delay: Duration) {
        let mut start_count = 0;
        loop {
            sleep(POLL_PERIOD).await;
            for engine in self.engines.iter().filter(|engine| !engine.is_running()) {
                let crashed_at = engine.crashes().last().copied();
                if crashed_at.is_some_and(|at| at.elapsed() < delay) {
                    continue;
                }
                start_count += 1;
                self.store.remove(&engine.key());
                let restarted = engine.restart(&format!("restarted-{start_count}")).await;
                restarted.expect("the engine restarts");
                self.store.put(&engine.key(), engine.record("ready"));
            }
        }
    }

    /// Returns the times of all crashes in order.
    pub(super) fn crashes(&self) -> Vec<Instant> {
        let engines = self.engines.iter();
        let mut crashes: Vec<Instant> = engines.flat_map(|engine| engine.crashes()).collect();
        crashes.sort();
        crashes
    }

    /// Returns the time from which the bounds count: the fifth crash, or the last of fewer.
    pub(super) fn limit_reached_at(&self) -> Option<Instant> {
        let crashes = self.crashes();
        crashes.get(CRASH_LIMIT - 1).or(crashes.last()).copied()
    }

    /// Waits until `delay` has passed since the fifth crash, or since the last of fewer; returns
    /// the time of that crash.
    pub(super) async fn wait_after_limit(&self, delay: Duration, wait_max: Duration) -> Instant {
        let wait = async {
            loop {
                sleep(POLL_PERIOD).await;
                if let Some(at) = self.limit_reached_at().filter(|at| at.elapsed() >= delay) {
                    return at;
                }
            }
        };
        let waited = timeout(wait_max, wait).await;
        waited.expect("the crashes come in time")
    }

    /// Returns how many requests with the crashing part reached engines after a time.
    pub(super) fn crashing_arrivals_after(&self, from: Instant) -> usize {
        let engines = self.engines.iter();
        engines
            .flat_map(|engine| engine.crashing_arrivals())
            .filter(|at| *at > from)
            .count()
    }

    /// Returns the times at which endpoints received requests that crash them whatever their prompt.
    pub(super) fn crashing_request_arrivals(&self) -> Vec<Instant> {
        let engines = self.engines.iter();
        engines
            .flat_map(EndpointServer::crashing_request_arrivals)
            .collect()
    }

    /// Returns how often a request ran.
    pub(super) fn runs(&self, request_id: &str) -> u32 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.run_count(request_id)).sum()
    }
}

/// The result of a sound request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SoundResult {
    pub(super) sent_at: Instant,
    /// Which path and which parts it had.
    pub(super) class: usize,
    pub(super) status: Option<u16>,
    /// Whether its first event arrived.
    pub(super) has_begun: bool,
}

/// The number of classes of sound requests: two paths, each with and without the parts that
/// requests with the crashing part have.
pub(super) const SOUND_CLASS_COUNT: usize = 4;

/// Returns the parts of a prompt that holds the crashing one, at each position in turn.
pub(crate) fn crashing_parts(name: &str, prompt: usize) -> String {
    let mut parts = vec!["5c1e07a2:800".to_owned(), "91bd3f06:410".to_owned()];
    parts.insert(prompt % 3, format!("{CRASHING_PART}:640"));
    parts.push(format!("{name}{prompt:x}:250"));
    parts.join(",")
}

/// Returns the parts of a sound prompt; every second one shares parts with crashing ones.
pub(crate) fn sound_parts(name: &str, prompt: usize) -> String {
    let shared = match prompt % 2 {
        0 => "5c1e07a2:800,91bd3f06:410",
        _ => "77aa3e10:800,0f5b92cc:410",
    };
    format!("{shared},{name}{prompt:x}:250")
}

/// Builds the request with this number that holds the crashing part; every fourth repeats an earlier
/// one under another identifier.
pub(super) fn crashing_request(
    vm: &EntryVm,
    name: &str,
    number: usize,
) -> (String, RequestBuilder) {
    let id = format!("{name}-{number}");
    let prompt = match number % 4 {
        3 => number - 2,
        _ => number,
    };
    let path = STREAM_PATHS[prompt / 2 % STREAM_PATHS.len()];
    let request = vm
        .post(path, &id)
        .header("Token-Count", "2100,80")
        .header("Prefix-Hash", crashing_parts(name, prompt));
    (id, request)
}

/// Sends the sound request with this number and reads its answer up to the first event.
pub(super) async fn send_sound(vm: &EntryVm, name: &str, number: usize) -> SoundResult {
    let class = number % SOUND_CLASS_COUNT;
    let path = STREAM_PATHS[class / 2];
    let request = vm
        .post(path, &format!("{name}-{number}"))
        .header("Token-Count", "1460,80")
        .header("Prefix-Hash", sound_parts(name, number));
    let sent_at = Instant::now();
    let mut result = SoundResult {
        sent_at,
        class,
        status: None,
        has_begun: false,
    };
    if let Ok(mut answer) = request.send().await {
        result.status = Some(answer.status().as_u16());
        let first = answer.chunk().await;
        result.has_begun = answer.status() == 200 && matches!(first, Ok(Some(_)));
        // Reads on, so that the answer is not cancelled.
        while matches!(answer.chunk().await, Ok(Some(_))) {}
    }
    result
}
