//! Engines of several software versions, whose events name the version that wrote them.

use std::collections::BTreeSet;
use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::StoreServer;
use reqwest::RequestBuilder;
use reqwest::Response;
use tokio::time::sleep;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::KEY;

/// The time that gossip and the readers of the store need to tell each VM.
pub(super) const GOSSIP_TIME: Duration = Duration::from_millis(1_500);

/// The number of events in a complete stream.
const EVENT_COUNT: usize = 6;

const STREAM_PATH: &str = "/stream/x";

/// A store and its engines.
pub(super) struct VersionedSite {
    pub(super) store: StoreServer,
    pub(super) engines: Vec<EndpointServer>,
}

impl VersionedSite {
    /// Starts an engine for each pair of a version and a zone; the routes allow three attempts.
    pub(super) async fn launch(engines: &[(&str, &str)]) -> Self {
        let mut site = Self {
            store: StoreServer::launch(any_port()).await.expect("a store"),
            engines: Vec::new(),
        };
        let mut configuration = configuration(1, &[KEY]);
        for route in configuration["routes"].as_array_mut().expect("routes") {
            route["maxAttempts"] = 3.into();
        }
        configuration["services"][1]["coldStartS"] = 0.into();
        site.store.put("op/config", configuration.to_string());
        for (version, zone) in engines {
            site.add(version, zone).await;
        }
        site
    }

    /// Starts and registers one more engine.
    pub(super) async fn add(&mut self, version: &str, zone: &str) {
        let id = format!("e{}", self.engines.len());
        let engine = EndpointServer::launch(any_port(), &id, "engine", zone).await;
        let engine = engine.expect("an endpoint");
        engine.set_version(version);
        self.store.put(&engine.key(), engine.record("ready"));
        self.engines.push(engine);
    }

    pub(super) fn set_faults(&self, faults: &EndpointFaults) {
        for engine in &self.engines {
            engine.set_faults(faults.clone());
        }
    }

    /// Sets the time between two events of all engines.
    pub(super) fn set_pause(&self, pause: Duration) {
        self.set_faults(&EndpointFaults {
            pause,
            ..EndpointFaults::default()
        });
    }

    /// Starts VMs in these zones, which know each other.
    pub(super) async fn launch_vms(&self, zones: &[&str]) -> Vec<EntryVm> {
        let ips: Vec<_> = zones.iter().map(|_| new_ip()).collect();
        let store = self.store.address();
        let vms = ips.iter().zip(zones);
        let vms: Vec<_> = vms
            .map(|(ip, zone)| EntryVm::start(*ip, zone, store, &ips))
            .collect();
        for vm in &vms {
            vm.wait_until(true).await;
        }
        sleep(GOSSIP_TIME).await;
        vms
    }
}

/// What a client holds of a stream, over all of its tries.
#[derive(Debug)]
pub(super) struct ClientStream {
    /// The identifier of the try that brought the first event.
    pub(super) origin: String,
    /// The text of whole events.
    pub(super) text: String,
    response: Option<Response>,
}

impl ClientStream {
    /// Returns a stream whose connection the client closed.
    pub(super) const fn of(origin: String, text: String) -> Self {
        Self {
            origin,
            text,
            response: None,
        }
    }

    /// Begins a stream and reads its first events.
    pub(super) async fn begin(vm: &EntryVm, id: &str, event_count: usize) -> Self {
        let response = vm.post(STREAM_PATH, id).send().await.expect("an answer");
        assert_eq!(response.status(), 200);
        let mut stream = Self::of(id.to_owned(), String::new());
        stream.continue_with(response, event_count).await;
        stream
    }

    /// Reads from the answer to a take-up until so many events are there.
    pub(super) async fn continue_with(&mut self, response: Response, event_count: usize) {
        self.response = Some(response);
        while self.event_count() < event_count && self.read().await {}
    }

    /// Reads to the end, which may come early.
    pub(super) async fn finish(&mut self) {
        while self.read().await {}
        self.response = None;
        // A client drops an event that is not whole.
        let end = self.text.rfind("\n\n").map_or(0, |end| end + 2);
        self.text.truncate(end);
    }

    async fn read(&mut self) -> bool {
        let Some(response) = &mut self.response else {
            return false;
        };
        match response.chunk().await {
            Ok(Some(bytes)) => {
                self.text.push_str(&String::from_utf8_lossy(&bytes));
                true
            }
            _ => false,
        }
    }

    /// Returns the request that takes the stream up.
    pub(super) fn take_up_request(&self, vm: &EntryVm, id: &str) -> RequestBuilder {
        vm.post(STREAM_PATH, id)
            .header("Last-Event-Id", self.event_count().to_string())
            .header("Resumes", &self.origin)
    }

    /// Takes the stream up and reads it to its end; returns the status of the answer.
    pub(super) async fn take_up(&mut self, vm: &EntryVm, id: &str) -> u16 {
        let response = self.take_up_request(vm, id).send().await;
        let response = response.expect("an answer");
        let status = response.status().as_u16();
        if status == 200 {
            self.response = Some(response);
            self.finish().await;
        }
        status
    }

    pub(super) fn event_count(&self) -> usize {
        self.text.matches("\n\n").count()
    }

    pub(super) fn is_whole(&self) -> bool {
        self.event_count() == EVENT_COUNT
    }

    /// Returns the versions that wrote the events.
    pub(super) fn versions(&self) -> BTreeSet<String> {
        let lines = self.text.lines().filter(|line| line.starts_with("data: "));
        let versions = lines.filter_map(|line| line.split_once(" of "));
        versions.map(|(_, version)| version.to_owned()).collect()
    }
}
