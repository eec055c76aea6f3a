//! The store, the endpoints, the daemons and the proxies of a run.

use std::net::Ipv4Addr;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::StoreServer;
use parking_lot::Mutex;
use serde_json::json;

use super::crashing_requests::crashing_requests;
use super::endpoint_slot::EndpointSlot;
use super::history::History;
use super::history::RequestKind;
use super::history::Revocation;
use super::history::Span;
use super::notices::Notice;
use super::return_checks::COLD_RATE_PER_S;
use super::run_options::RunOptions;
use super::vm_slot::VmSlot;
use crate::entry::crash_site::CRASHING_PART;
use crate::entry::support::any_port;
use crate::entry::support::configuration;
use crate::entry::support::EntryVm;
use crate::entry::support::EAST;
use crate::entry::support::KEY;
use crate::entry::support::WEST;

/// The framings of streams that end with their connection.
const FRAMINGS: [AnswerFraming; 3] = [
    AnswerFraming::UntilClose,
    AnswerFraming::AnnouncedClose,
    AnswerFraming::Http10,
];

/// The timeout that clients set for their requests.
const TIMEOUT: Duration = Duration::from_millis(3_500);

/// The timeout of requests that endpoints must answer in spite of two silences.
const LONG_TIMEOUT: Duration = Duration::from_millis(7_000);

/// The step between the route timeouts of two versions of the configuration.
const ROUTE_TIMEOUT_STEP: Duration = Duration::from_millis(500);

/// The index of the service of engines in the configuration.
const ENGINE_SERVICE: usize = 1;

/// The delay of events and plain answers without a fault.
const WORK_TIME: Duration = Duration::from_millis(10);

/// The delay if endpoints fall silent, so that silences meet answers in progress.
const LONG_WORK_TIME: Duration = Duration::from_millis(150);

/// The store, the endpoints, the daemons and the proxies of a run.
pub(super) struct World {
    pub(super) store: StoreServer,
    pub(super) endpoints: Vec<EndpointSlot>,
    pub(super) vms: Vec<VmSlot>,
    pub(super) history: Mutex<History>,
    keys: Mutex<Keys>,
    /// Whether endpoints fall silent, so that answers need longer timeouts.
    has_silences: bool,
    /// Whether engines crash and return, so that cold ones tolerate less than what they get.
    has_returns: bool,
    /// The store keys of processes that ended.
    expired_endpoints: Mutex<Vec<String>>,
}

struct Keys {
    version: u64,
    valid: Vec<String>,
    issued: Vec<String>,
}

impl World {
    /// Starts the store, the endpoints, the proxies and the daemons; every other daemon is in the
    /// western region. Copies of refusals are drawn from the seed.
    pub(super) async fn launch(seed: u64, options: RunOptions) -> Arc<Self> {
        let copy_seed = options.has_copies.then_some(seed);
        let store = StoreServer::launch(any_port()).await.expect("a store");
        let mut endpoints = Vec::new();
        for zone in [EAST, WEST] {
            for service in ["plain", "engine"] {
                for number in 0..2 {
                    let id = format!("{service}-{zone}-{number}");
                    let framing = match options.has_unframed_streams && service == "engine" {
                        true => FRAMINGS[endpoints.len() % FRAMINGS.len()],
                        false => AnswerFraming::Length,
                    };
                    let seed = copy_seed.map(|seed| seed ^ (endpoints.len() as u64 + 1) << 32);
                    let slot = EndpointSlot::launch(zone, service, &id, framing, seed).await;
                    endpoints.push(slot);
                }
            }
        }
        let mut vms = Vec::new();
        for zone in [EAST, WEST].into_iter().cycle().take(options.vm_count) {
            vms.push(VmSlot::new(zone, store.address()).await);
        }
        let world = Arc::new(Self {
            store,
            endpoints,
            vms,
            history: Mutex::default(),
            keys: Mutex::new(Keys {
                version: 0,
                valid: vec![KEY.to_owned()],
                issued: Vec::new(),
            }),
            has_silences: options.has_silences,
            has_returns: options.has_returns,
            expired_endpoints: Mutex::default(),
        });
        world.clear_faults();
        world.rotate_spare_key();
        for vm in 0..world.vms.len() {
            world.start(vm).await;
        }
        world.wait_until_ready().await;
        world
    }

    /// Gives the engines of each zone a software version of its own.
    pub(super) fn set_versions(&self) {
        for endpoint in &self.endpoints {
            if endpoint.service == "engine" {
                endpoint.server.set_version(endpoint.zone);
                self.register(endpoint, "ready");
            }
        }
    }

    /// Ends the simulated faults of all endpoints and registers them.
    pub(super) fn clear_faults(&self) {
        for endpoint in &self.endpoints {
            endpoint.set_notice(Notice::None);
            endpoint.set_faults(self.no_faults());
            self.register(endpoint, "ready");
        }
    }

    /// Returns the simulated faults of an endpoint in order.
    pub(super) fn no_faults(&self) -> EndpointFaults {
        EndpointFaults {
            crashing_part: Some(CRASHING_PART.to_owned()),
            crashing_requests: crashing_requests(),
            pause: match self.has_silences {
                true => LONG_WORK_TIME,
                false => WORK_TIME,
            },
            ..EndpointFaults::default()
        }
    }

    /// Writes the record of an endpoint, unless its process is down or has not written its own yet.
    pub(super) fn register(&self, endpoint: &EndpointSlot, state: &str) {
        if let Some(record) = endpoint.record(state) {
            self.store.put(&endpoint.server.key(), record);
        }
    }

    /// Starts an endpoint again after a crash, under another identifier.
    pub(super) async fn restart_endpoint(&self, endpoint: &EndpointSlot, id: &str) {
        self.expire(endpoint.server.key());
        let restarted = endpoint.server.restart(id).await;
        restarted.expect("the endpoint restarts");
        self.register(endpoint, "ready");
    }

    /// Removes the entry of a process that ended, for good.
    pub(super) fn expire(&self, key: String) {
        self.store.remove(&key);
        self.expired_endpoints.lock().push(key);
    }

    /// Returns the timeout of a client's request with this number.
    pub(super) fn timeout(&self, kind: RequestKind, number: usize) -> Duration {
        match self.has_silences && (kind.is_stream() || number.is_multiple_of(2)) {
            true => LONG_TIMEOUT,
            false => TIMEOUT,
        }
    }

    /// Revokes the spare key and publishes another.
    pub(super) fn rotate_spare_key(&self) {
        let mut keys = self.keys.lock();
        keys.version += 1;
        let spare = format!("spare-{}", keys.version);
        let revoked: Vec<String> = keys.valid.drain(1..).collect();
        keys.valid.push(spare.clone());
        keys.issued.push(spare);
        let valid: Vec<&str> = keys.valid.iter().map(String::as_str).collect();
        self.publish(keys.version, &valid);
        let at = Instant::now();
        let revocations = revoked.into_iter().map(|key| Revocation { key, at });
        self.history.lock().revocations.extend(revocations);
    }

    /// Publishes a configuration with other route timeouts than the one before it.
    fn publish(&self, version: u64, api_keys: &[&str]) {
        let mut published = configuration(version, api_keys);
        let timeout = LONG_TIMEOUT + ROUTE_TIMEOUT_STEP * (version % 3) as u32;
        let routes = published["routes"].as_array_mut().expect("a list");
        for route in routes {
            route["timeoutMs"] = json!(timeout.as_millis() as u64);
        }
        if self.has_returns {
            published["services"][ENGINE_SERVICE]["coldPerS"] = json!(COLD_RATE_PER_S);
        }
        self.store.put("op/config", published.to_string());
    }

    /// Publishes the newest configuration again, registers the endpoints that are not in the store,
    /// and removes the entries of processes that ended.
    pub(super) fn repeat_writes(&self) {
        let keys = self.keys.lock();
        let valid: Vec<&str> = keys.valid.iter().map(String::as_str).collect();
        self.publish(keys.version, &valid);
        for endpoint in &self.endpoints {
            self.register(endpoint, "ready");
            if endpoint.has_lapsed() {
                self.store.remove(&endpoint.server.key());
            }
        }
        for expired in &*self.expired_endpoints.lock() {
            self.store.remove(expired);
        }
    }

    /// Returns the spare key with this index, revoked or not, or the key that is never revoked if
    /// there is no such spare key.
    pub(super) fn key(&self, spare_index: usize) -> String {
        let keys = self.keys.lock();
        match keys.issued.get(spare_index) {
            Some(spare) => spare.clone(),
            None => KEY.to_owned(),
        }
    }

    pub(super) async fn start(&self, vm: usize) {
        let slot = &self.vms[vm];
        let seeds: Vec<Ipv4Addr> = self.vms.iter().map(|vm| vm.ip).collect();
        let mut process = slot.process.lock().await;
        // The old process ends before the new one binds its ports.
        drop(process.take());
        *slot.start_count.lock() += 1;
        *slot.started_at.lock() = Instant::now();
        let store = slot.store_link.address();
        *process = Some(EntryVm::start(slot.ip, slot.zone, store, &seeds));
    }

    /// Takes the process out of its slot, to end it.
    pub(super) async fn take(&self, vm: usize) -> Option<EntryVm> {
        let mut process = self.vms[vm].process.lock().await;
        self.check_running(vm, process.as_mut()?);
        process.take()
    }

    /// Records the daemons that ended by themselves.
    pub(super) async fn check_all_running(&self) {
        for (vm, slot) in self.vms.iter().enumerate() {
            if let Some(process) = &mut *slot.process.lock().await {
                self.check_running(vm, process);
            }
        }
    }

    fn check_running(&self, vm: usize, process: &mut EntryVm) {
        if let Some(status) = process.exit_status() {
            let text = format!("vm {vm} ended by itself: {status}");
            self.history.lock().wrong_exits.push(text);
        }
    }

    /// Records how a daemon ended that was told to stop `age` after its start.
    pub(super) fn record_stop(&self, vm: usize, age: Duration, status: ExitStatus) {
        let text = format!("vm {vm}, told to stop {age:?} after its start, ended with {status}");
        let mut history = self.history.lock();
        if !status.success() {
            history.wrong_exits.push(text.clone());
        }
        history.actions.push(text);
    }

    pub(super) async fn wait_until_ready(&self) {
        for slot in &self.vms {
            let process = slot.process.lock().await;
            let vm = process.as_ref().expect("the process was started");
            vm.wait_until(true).await;
        }
    }

    pub(super) fn record_action(&self, action: String) {
        self.history.lock().actions.push(action);
    }

    pub(super) fn record_vm_fault(&self, vm: usize, from: Instant) {
        let span = Span {
            from,
            until: Instant::now(),
        };
        self.history.lock().vm_faults.push((vm, span));
    }

    pub(super) fn record_vm_stop(&self, vm: usize, from: Instant) {
        let span = Span {
            from,
            until: Instant::now(),
        };
        self.history.lock().vm_stops.push((vm, span));
    }

    pub(super) fn record_endpoint_fault(&self, endpoint: usize, from: Instant) {
        let span = Span {
            from,
            until: Instant::now(),
        };
        self.history.lock().endpoint_faults.push((endpoint, span));
    }

    pub(super) fn record_link_fault(&self, endpoint: usize, from: Instant) {
        let span = Span {
            from,
            until: Instant::now(),
        };
        self.history.lock().link_faults.push((endpoint, span));
    }

    /// Records a fault after which VMs are not in touch.
    pub(super) fn record_disruption(&self, from: Instant) {
        let span = Span {
            from,
            until: Instant::now(),
        };
        self.history.lock().disruptions.push(span);
    }

    /// Returns how often a request ran in all, and how often in the eastern region.
    pub(super) fn runs(&self, request_id: &str) -> (u32, u32) {
        let count = |zone: Option<&str>| {
            let endpoints = self.endpoints.iter();
            endpoints
                .filter(|endpoint| zone.is_none_or(|zone| endpoint.zone == zone))
                .map(|endpoint| endpoint.server.run_count(request_id))
                .sum()
        };
        (count(None), count(Some(EAST)))
    }

    /// Returns the same of what ran before a time.
    pub(super) fn runs_before(&self, request_id: &str, until: Instant) -> (u32, u32) {
        let (mut all, mut eastern) = (0, 0);
        for endpoint in &self.endpoints {
            let works = endpoint.server.works();
            let works = works.iter();
            let ran = works.filter(|work| work.request_id == request_id && work.from < until);
            let count = ran.count() as u32;
            all += count;
            eastern += u32::from(endpoint.zone == EAST) * count;
        }
        (all, eastern)
    }

    /// Returns the endpoints of the service of these requests.
    pub(super) fn endpoints_for(&self, kind: RequestKind) -> impl Iterator<Item = &EndpointSlot> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(move |endpoint| endpoint.service == kind.service())
    }

    /// Returns the indices of the endpoints that a request reached.
    pub(super) fn reached(&self, request_id: &str) -> Vec<usize> {
        let endpoints = self.endpoints.iter().enumerate();
        endpoints
            .filter(|(_, endpoint)| endpoint.server.run_count(request_id) > 0)
            .map(|(index, _)| index)
            .collect()
    }

    pub(super) fn complete_body(kind: RequestKind) -> String {
        match kind.is_stream() {
            true => crate::entry::support::whole_stream(),
            false => "done".to_owned(),
        }
    }
}
