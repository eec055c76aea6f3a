//! The shared state of the tasks of an entry VM.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::sync::Mutex;
use tokio::sync::Notify;

use super::incarnation::incarnation;
use super::EntrySettings;
use super::MemoryBudget;
use crate::belief::Belief;
use crate::belief::ReadPlan;
use crate::catalog::Name;
use crate::clock::Clock;
use crate::clock::Monotonic;
use crate::edge::AcceptedConnections;
use crate::edge::CloseReason;
use crate::edge::ConnectionPool;
use crate::fleet::EndpointRate;
use crate::fleet::FleetView;
use crate::fleet::NameHash;
use crate::fleet::ServiceWait;
use crate::fleet::VmPhase;
use crate::fleet::VmRow;
use crate::placement::EndpointKey;
use crate::placement::EndpointReach;
use crate::placement::EndpointTable;
use crate::placement::RateKind;
use crate::quarantine::RequestQuarantine;
use crate::quota::QuotaLimiter;
use crate::retry::FleetRetryBudget;
use crate::streams::OriginExchange;
use crate::streams::OriginRepair;
use crate::streams::ReplicaCount;
use crate::streams::StreamOrigins;
use crate::streams::VersionHistory;
use crate::telemetry::EntryGauges;
use crate::telemetry::EntryMetrics;

/// The state that the tasks of an entry VM share; all of them run on one thread.
pub struct EntryState {
    /// The settings.
    pub settings: EntrySettings,
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The latest known configuration and endpoint listing, with their ages.
    pub belief: RefCell<Belief>,
    /// The schedule of this VM's reads of the store.
    pub read_plan: RefCell<ReadPlan>,
    /// The status rows of the local VM and the known others.
    pub fleet: RefCell<FleetView>,
    /// The endpoints of the local region, and which services other regions have.
    pub endpoints: RefCell<EndpointTable>,
    /// Whether this VM reaches the endpoints of its region.
    pub reach: RefCell<EndpointReach>,
    /// The requests and prompt parts that crash endpoints.
    pub quarantine: RefCell<RequestQuarantine>,
    /// The token buckets of the client accounts.
    pub quota: RefCell<QuotaLimiter>,
    /// The retry budgets, by service.
    pub retry_budgets: RefCell<HashMap<Name, FleetRetryBudget>>,
    /// The connections to endpoints and other VMs.
    pub connection_pool: ConnectionPool,
    /// Held while an endpoint is probed for a silent request.
    pub probe_turn: Mutex<()>,
    /// The memory for request bodies.
    pub memory: MemoryBudget,
    /// The memory for answers of which a part has arrived.
    pub answer_memory: MemoryBudget,
    /// The connections of clients and other VMs, and what is held for them.
    pub accepted: AcceptedConnections,
    /// The number of requests in flight.
    pub running_count: Rc<Cell<u32>>,
    /// The number of open connections of clients and other VMs.
    pub connection_count: Rc<Cell<u64>>,
    /// The counters and histograms.
    pub metrics: EntryMetrics,
    /// Wakes the task that reads the store.
    pub read_now: Notify,
    /// Wakes the gossip task before the next round.
    pub gossip_now: Notify,
    /// The software versions that are or were in use.
    pub versions: RefCell<VersionHistory>,
    /// The software versions that began streams.
    pub origins: RefCell<StreamOrigins>,
    /// The messages about streams to other VMs, and the open questions.
    pub origin_exchange: RefCell<OriginExchange>,
    /// The number of VMs that are told of each stream.
    pub replica_count: RefCell<ReplicaCount>,
    /// The streams that VMs which started are to be told of.
    pub origin_repair: RefCell<OriginRepair>,
    /// The socket for datagrams about streams; empty until it is bound.
    pub stream_socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes the tasks that wait for the beginning of a stream.
    pub origins_changed: Notify,
    /// Wakes the tasks that wait until the listing is confirmed.
    pub listing_confirmed: Notify,
    /// When the process ends, once it was told to stop.
    pub ends_at: Cell<Option<Monotonic>>,
    /// Tells the requests in flight that the process is about to end.
    pub ending: watch::Sender<bool>,
    /// The random number generator.
    pub rng: RefCell<SmallRng>,
}

impl EntryState {
    /// Creates the state of a VM that has no configuration, listing or peers yet.
    pub fn new(settings: EntrySettings, clock: Rc<dyn Clock>) -> Self {
        let local_row = VmRow {
            ip: settings.ip,
            zone: settings.zone,
            incarnation: incarnation(clock.wall_time()),
            beat: 0,
            phase: VmPhase::Starting,
            reads_store: true,
            waits: Vec::new(),
            usage: Vec::new(),
            backlogs: Vec::new(),
            loads: Vec::new(),
            is_cut_off: false,
        };
        Self {
            belief: RefCell::default(),
            read_plan: RefCell::default(),
            fleet: RefCell::new(FleetView::new(settings.topology.clone(), local_row)),
            endpoints: RefCell::new(EndpointTable::new(settings.region, settings.zone)),
            reach: RefCell::default(),
            quarantine: RefCell::default(),
            quota: RefCell::new(QuotaLimiter::new(settings.bounds.quota_overage)),
            retry_budgets: RefCell::default(),
            connection_pool: ConnectionPool::default(),
            probe_turn: Mutex::default(),
            memory: MemoryBudget::new(settings.memory_max_bytes),
            answer_memory: MemoryBudget::new(settings.memory_max_bytes),
            accepted: AcceptedConnections::new(settings.memory_max_bytes, settings.descriptors_max),
            running_count: Rc::default(),
            connection_count: Rc::default(),
            metrics: EntryMetrics::new(),
            read_now: Notify::new(),
            gossip_now: Notify::new(),
            versions: RefCell::default(),
            origins: RefCell::default(),
            origin_exchange: RefCell::default(),
            replica_count: RefCell::default(),
            origin_repair: RefCell::default(),
            stream_socket: OnceCell::new(),
            origins_changed: Notify::new(),
            listing_confirmed: Notify::new(),
            ends_at: Cell::default(),
            ending: watch::Sender::new(false),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            clock,
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Returns the phase of the local VM.
    pub fn phase(&self) -> VmPhase {
        self.fleet.borrow().local_row().phase
    }

    /// Returns the address of another VM's port for peers.
    pub fn peer_address(&self, ip: Ipv4Addr) -> SocketAddr {
        SocketAddr::from((ip, self.settings.listeners.peers.port()))
    }

    /// Applies a changed configuration or listing to the tables that depend on it.
    pub fn on_belief_changed(&self, now: Monotonic) {
        let belief = self.belief.borrow();
        let deployment = belief.deployment().map(Rc::as_ref);
        if let Some(deployment) = deployment {
            self.quota.borrow_mut().on_deployment(now, deployment);
        }
        let topology = &self.settings.topology;
        self.versions.borrow_mut().update(now, belief.listing());
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(confirmed_at) = belief.listing_confirmed_at() {
            endpoints.on_listing_confirmed(confirmed_at);
        }
        endpoints.update(now, belief.listing(), deployment, topology);
        let mut fleet = self.fleet.borrow_mut();
        if belief.is_complete() && fleet.local_row().phase == VmPhase::Starting {
            fleet.local_row_mut().phase = VmPhase::Ready;
            log::info!(
                version = belief.version(),
                endpoints = belief.listing().endpoints.len();
                "ready"
            );
        }
    }

    /// Updates the local VM's status row for the next round of gossip.
    pub fn refresh_row(&self, now: Monotonic) {
        let belief = self.belief.borrow();
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(confirmed_at) = belief.listing_confirmed_at() {
            endpoints.on_listing_confirmed(confirmed_at);
        }
        endpoints.remove_expired_backlogs(now);
        endpoints.sample_load(now);
        let backlogs = endpoints.backlogs();
        let services = belief.deployment().into_iter().flat_map(|d| d.services());
        let waits = services.filter_map(|service| {
            let wait_ms = endpoints.shortest_wait_ms(now, &service.name)?;
            Some(ServiceWait {
                service: NameHash::from(&service.name),
                wait_ms: wait_ms.min(f64::from(u16::MAX)) as u16,
            })
        });
        let mut fleet = self.fleet.borrow_mut();
        let row = fleet.local_row_mut();
        row.beat += 1;
        row.waits = waits.collect();
        row.backlogs = backlogs;
        row.loads = endpoints.loads();
        row.usage = self.quota.borrow_mut().next_usage();
        row.is_cut_off = self.reach.borrow().is_cut_off();
        row.reads_store = self.read_plan.borrow().is_store_reachable();
        fleet.remove_expired(now);
        let alive_count = fleet.alive_count(now);
        let known_count = fleet.known_count();
        self.quota
            .borrow_mut()
            .on_reachable_vms(alive_count, known_count);
    }

    /// Returns the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the library cannot encode them.
    pub fn metrics_text(&self) -> Result<String, fmt::Error> {
        let now = self.now();
        let belief = self.belief.borrow();
        let age = belief.configuration_age(now);
        self.metrics.encode(EntryGauges {
            configuration_version: belief.version(),
            configuration_age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
            alive_vms: self.fleet.borrow().alive_count(now) as u64,
            running_requests: u64::from(self.running_count.get()),
            opened_connections: self.connection_pool.opened_count(),
            replaced_connections: self.connection_pool.replaced_count(),
            quarantined_parts: self.quarantine.borrow().quarantined().len() as u64,
        })
    }

    /// Counts and logs connections closed as they, or all together, are over the limits.
    pub fn on_connections_closed(&self, reason: CloseReason, count: u64) {
        if count > 0 {
            self.metrics.on_connections_closed(reason.as_str(), count);
            self.accepted.log_closed(self.now(), reason, count);
        }
    }

    /// Adds the rates of endpoints that another VM observed.
    pub fn on_rates_reported(&self, kind: RateKind, rates: impl IntoIterator<Item = EndpointRate>) {
        let mut endpoints = self.endpoints.borrow_mut();
        for key in endpoints.on_peer_rates(kind, rates) {
            log_rate(&endpoints, key, kind);
        }
    }

    /// Records the rate per second that an endpoint named in an answer, or that it named none.
    pub fn on_rate(
        &self,
        now: Monotonic,
        key: EndpointKey,
        kind: RateKind,
        rate_per_s: Option<f64>,
    ) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.on_rate(now, key, kind, rate_per_s) {
            log_rate(&endpoints, key, kind);
        }
    }

    /// Takes one retry from the budget of a service; returns whether the budget allows it.
    pub fn try_take_retry(&self, now: Monotonic, service: &Name) -> bool {
        let fleet = self.fleet.borrow();
        let load = fleet.known_load(now, NameHash::from(service));
        let known_vms = load.map_or(fleet.known_count(), |load| {
            load.with_unknown(fleet.known_count())
        });
        drop(fleet);
        self.with_retry_budget(service, |budget| budget.try_take(now, known_vms))
    }

    /// Counts a client's request in the retry budget of its service.
    pub fn on_request(&self, now: Monotonic, service: &Name) {
        self.with_retry_budget(service, |budget| budget.on_request(now));
    }

    fn with_retry_budget<T>(
        &self,
        service: &Name,
        operation: impl FnOnce(&mut FleetRetryBudget) -> T,
    ) -> T {
        let bounds = &self.settings.bounds;
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            FleetRetryBudget::new(bounds.retry_window, bounds.retry_ratio, bounds.retry_slack)
        });
        operation(budget)
    }
}

fn log_rate(endpoints: &EndpointTable, key: EndpointKey, kind: RateKind) {
    let Some(state) = endpoints.get(key) else {
        return;
    };
    let endpoint = state.record().instance.id.as_str();
    match state.rate_in_force_per_s(kind) {
        Some(rate_per_s) => log::info!(
            endpoint = endpoint,
            limited:? = kind,
            rate_per_s = rate_per_s;
            "the endpoint limits the rate of all VMs together"
        ),
        None => {
            log::info!(endpoint = endpoint, limited:? = kind; "the endpoint no longer limits its rate")
        }
    }
}
