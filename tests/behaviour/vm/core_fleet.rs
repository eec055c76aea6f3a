//! Simulation of several VM cores in virtual time, with a queue of pending messages.
//!
//! Messages are sent in their wire encoding, so that their bytes are counted.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use figramp::audit::AuditEvent;
use figramp::catalog::Name;
use figramp::catalog::ServiceState;
use figramp::catalog::VmSpec;
use figramp::clock::Monotonic;
use figramp::configuration::RawTicket;
use figramp::configuration::VmIdentity;
use figramp::demo::fast_core_settings;
use figramp::demo::raw_ticket;
use figramp::limits::DenialReason;
use figramp::membership::Incarnation;
use figramp::peer::generated::peer_capnp::control_message;
use figramp::peer::wire::read_control;
use figramp::peer::wire::write_control;
use figramp::peer::PeerMessage;
use figramp::publication::PlatformError;
use figramp::publication::TicketBatch;
use figramp::vm::Core;
use figramp::vm::CoreAction;
use figramp::vm::CoreEvent;
use figramp::vm::CoreSettings;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;
use serde_json::json;
use serde_json::Value;

const TICK: Duration = Duration::from_millis(50);

/// A VM of the fleet.
pub struct FleetVm {
    pub name: Name,
    pub region: usize,
    pub core: Core,
    pub is_ready: bool,
    pub audit: Vec<AuditEvent>,
    pub sent_bytes: u64,
    pub sent_messages: u64,
    pub service_reads: u64,
    pub tokens_arrived: u64,
    pub denials: Vec<DenialReason>,
}

/// A message or a reply of the configuration service in flight.
enum Delivery {
    Message { from: usize, bytes: Vec<u8> },
    Event(CoreEvent),
}

/// Several VMs, the configuration service that they read, and the deliveries in flight.
pub struct CoreFleet {
    pub now: Monotonic,
    pub vms: Vec<FleetVm>,
    /// The tickets that the service returns; `None` while it is down.
    pub tickets: Option<Vec<RawTicket>>,
    /// Regions that a network partition separates from all others.
    pub partitioned_regions: Vec<usize>,
    pub one_way: Duration,
    pending: BTreeMap<(Reverse<Monotonic>, u64), (usize, Delivery)>,
    sequence: u64,
    rng: SmallRng,
}

pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

pub fn vm_name(region: usize, index: usize) -> String {
    format!("vm-{region}-{index}")
}

pub fn identity(region: usize, index: usize) -> VmIdentity {
    let name = |text: String| Name::new(text).expect("the name is valid");
    VmIdentity {
        name: name(vm_name(region, index)),
        spec: VmSpec {
            region: name(region_name(region)),
            availability_zone: name(format!("{}-a", region_name(region))),
            caller_address: address(region, index, 0),
            peer_address: address(region, index, 1),
            operator_address: address(region, index, 2),
            state: ServiceState::Active,
        },
    }
}

fn address(region: usize, index: usize, port: u16) -> SocketAddr {
    let [region, index] =
        [region, index].map(|n| u8::try_from(n).expect("the number fits into a byte"));
    SocketAddr::from(([127, 1, region, index], 1_000 + port))
}

/// Returns the published objects of a fleet: regions, their VMs, and accounts allowed everywhere.
pub fn objects(regions: usize, vms_per_region: usize, accounts: usize) -> Vec<Value> {
    let names: Vec<String> = (0..regions).map(region_name).collect();
    let mut objects = Vec::new();
    for (region, name) in names.iter().enumerate() {
        let links: Vec<Value> = names
            .iter()
            .filter(|other| *other != name)
            .map(|to| json!({"to": to, "one_way_us": 55_000, "bandwidth_bits_per_s": 140_000_000}))
            .collect();
        let value = json!({"availability_zones": [format!("{name}-a")], "links": links});
        objects.push(json!({"kind": "region", "name": name, "value": value}));
        for index in 0..vms_per_region {
            let value = json!({
                "region": name, "availability_zone": format!("{name}-a"),
                "caller_address": address(region, index, 0),
                "peer_address": address(region, index, 1),
                "operator_address": address(region, index, 2),
                "state": "active",
            });
            objects.push(json!({"kind": "vm", "name": vm_name(region, index), "value": value}));
        }
    }
    for account in 0..accounts {
        let value = json!({
            "allowed_regions": names, "rate_tokens_per_s": 3_000, "burst_tokens": 30_000,
            "weight": 1,
        });
        let name = format!("account-{account}");
        objects.push(json!({"kind": "client_account", "name": name, "value": value}));
    }
    objects
}

impl CoreFleet {
    /// Starts a fleet with short intervals; ticket 1 holds [`objects`].
    pub fn new(seed: u64, regions: usize, vms_per_region: usize, accounts: usize) -> Self {
        let tickets = vec![raw_ticket(1, objects(regions, vms_per_region, accounts))];
        Self::with_settings(seed, regions, vms_per_region, tickets, fast_core_settings)
    }

    /// Starts a fleet with `tickets` published.
    pub fn with_settings(
        seed: u64,
        regions: usize,
        vms_per_region: usize,
        tickets: Vec<RawTicket>,
        settings: impl Fn(VmIdentity) -> CoreSettings,
    ) -> Self {
        let mut fleet = Self {
            now: Monotonic::from_ms(1),
            vms: Vec::new(),
            tickets: Some(tickets),
            partitioned_regions: Vec::new(),
            one_way: Duration::from_millis(55),
            pending: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for region in 0..regions {
            for index in 0..vms_per_region {
                fleet.boot(region, settings(identity(region, index)));
            }
        }
        fleet
    }

    /// Starts a VM; replaces one of the same name.
    pub fn boot(&mut self, region: usize, settings: CoreSettings) {
        let name = settings.local_vm.name.clone();
        let incarnation = Incarnation(self.now.as_ms());
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let core = Core::new(self.now, settings, incarnation, self.rng.random(), rng);
        let vm = FleetVm {
            name,
            region,
            core,
            is_ready: false,
            audit: Vec::new(),
            sent_bytes: 0,
            sent_messages: 0,
            service_reads: 0,
            tokens_arrived: 0,
            denials: Vec::new(),
        };
        match self.vms.iter().position(|old| old.name == vm.name) {
            Some(place) => self.vms[place] = vm,
            None => self.vms.push(vm),
        }
    }

    pub fn publish(&mut self, number: u64, objects: Vec<Value>) {
        let tickets = self.tickets.get_or_insert_with(Vec::new);
        tickets.push(raw_ticket(number, objects));
    }

    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            self.deliver_due();
            for vm in 0..self.vms.len() {
                self.handle(vm, CoreEvent::Tick { load_permille: 0 });
            }
        }
    }

    /// Passes an event to a VM and executes the resulting actions.
    pub fn handle(&mut self, vm: usize, event: CoreEvent) {
        let mut actions = Vec::new();
        self.vms[vm].core.handle(self.now, event, &mut actions);
        for action in actions {
            self.execute(vm, action);
        }
    }

    fn execute(&mut self, from: usize, action: CoreAction) {
        match action {
            CoreAction::Send { to, message } => self.send(from, to, &message),
            CoreAction::ReadService(read) => {
                self.vms[from].service_reads += 1;
                let outcome = match &self.tickets {
                    None => Err(PlatformError::Unavailable {
                        reason: "down".to_owned(),
                    }),
                    Some(tickets) => Ok(TicketBatch {
                        tickets: tickets
                            .iter()
                            .filter(|ticket| ticket.number > read.after)
                            .cloned()
                            .collect(),
                    }),
                };
                let is_empty = matches!(&outcome, Ok(batch) if batch.tickets.is_empty());
                let delay = if is_empty { read.wait } else { Duration::ZERO };
                let kind = read.kind;
                // An empty read ends after a second at most, so that a VM reads a new ticket about as
                // soon as by a long poll.
                let delay = delay.min(Duration::from_secs(1)) + Duration::from_millis(2);
                let event = CoreEvent::ServiceRead { kind, outcome };
                self.push(self.now + delay, from, Delivery::Event(event));
            }
            CoreAction::TokensArrived(_) => self.vms[from].tokens_arrived += 1,
            CoreAction::TokensDenied { reason, .. } => self.vms[from].denials.push(reason),
            CoreAction::Ready => self.vms[from].is_ready = true,
            CoreAction::Audit(event) => self.vms[from].audit.push(event),
            CoreAction::PublishCatalog(_)
            | CoreAction::PublishView(_)
            | CoreAction::PublishPools(_)
            | CoreAction::Proceed(_)
            | CoreAction::AnswerCall { .. } => {}
        }
    }

    fn send(&mut self, from: usize, to: figramp::catalog::VmKey, message: &PeerMessage) {
        let catalog = self.vms[from].core.catalog();
        let Some(to) = catalog.vms.get(to).map(|vm| vm.name.clone()) else {
            return;
        };
        let mut builder = Builder::new_default();
        write_control(
            message,
            &catalog,
            builder.init_root::<control_message::Builder<'_>>(),
        );
        let mut bytes = Vec::new();
        serialize_packed::write_message(&mut bytes, &builder)
            .expect("writing to a vector does not fail");
        self.vms[from].sent_bytes += bytes.len() as u64;
        self.vms[from].sent_messages += 1;
        let Some(to) = self.vms.iter().position(|vm| vm.name == to) else {
            return;
        };
        let (from_region, to_region) = (self.vms[from].region, self.vms[to].region);
        let is_cross_region = from_region != to_region;
        let is_partitioned = self.partitioned_regions.contains(&from_region)
            || self.partitioned_regions.contains(&to_region);
        if is_cross_region && is_partitioned {
            return;
        }
        let delay = if is_cross_region {
            self.one_way
        } else {
            Duration::from_millis(1)
        };
        self.push(self.now + delay, to, Delivery::Message { from, bytes });
    }

    fn push(&mut self, at: Monotonic, to: usize, delivery: Delivery) {
        self.sequence += 1;
        let key = (Reverse(at), u64::MAX - self.sequence);
        self.pending.insert(key, (to, delivery));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.pending.last_entry() {
            let at = entry.key().0 .0;
            if at > self.now {
                return;
            }
            let (to, delivery) = entry.remove();
            match delivery {
                Delivery::Event(event) => self.handle(to, event),
                Delivery::Message { from, bytes } => self.receive(from, to, &bytes),
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let catalog = self.vms[to].core.catalog();
        let Some(from) = catalog.vm_named(&self.vms[from].name) else {
            return;
        };
        let reader = serialize_packed::read_message(bytes, ReaderOptions::new());
        let reader = reader.expect("the bytes are a message");
        let root = reader.get_root::<control_message::Reader<'_>>();
        if let Ok(message) = read_control(root.expect("the message has a root"), &catalog) {
            self.handle(to, CoreEvent::Peer { from, message });
        }
    }
}
