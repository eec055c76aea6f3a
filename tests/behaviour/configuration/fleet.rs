//! A simulated fleet of configuration controllers in virtual time, with an unreliable network.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use figramp::audit::AuditEvent;
use figramp::catalog::Catalog;
use figramp::catalog::KeyDigest;
use figramp::catalog::Name;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::catalog::VmSpec;
use figramp::clock::Monotonic;
use figramp::configuration::ConfigurationAction;
use figramp::configuration::ConfigurationController;
use figramp::configuration::ConfigurationMessage;
use figramp::configuration::ConfigurationSettings;
use figramp::configuration::ObjectId;
use figramp::configuration::RawTicket;
use figramp::configuration::ServiceRead;
use figramp::configuration::Version;
use figramp::configuration::VmIdentity;
use figramp::membership::Incarnation;
use figramp::membership::Liveness;
use figramp::membership::MembershipView;
use figramp::membership::RegionContact;
use figramp::membership::VmView;
use figramp::publication::PlatformError;
use figramp::publication::TicketBatch;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use slotmap::SecondaryMap;

pub const TICK: Duration = Duration::from_millis(100);

pub struct Fleet {
    pub now: Monotonic,
    pub nodes: Vec<Node>,
    pub published: Vec<RawTicket>,
    pub pinned_ticket: Option<u64>,
    pub page_max_tickets: usize,
    pub regions_with_service: HashSet<String>,
    pub partitions: HashSet<(String, String)>,
    pub loss: f64,
    pub duplication: f64,
    rng: StdRng,
    positions: HashMap<Name, usize>,
    pending: Vec<Pending>,
    reads: Vec<PendingRead>,
}

pub struct Node {
    pub identity: VmIdentity,
    pub controller: ConfigurationController,
    pub audit: Vec<AuditEvent>,
    pub is_up: bool,
    versions: BTreeMap<ObjectId, Version>,
}

struct Pending {
    from: usize,
    to: Name,
    due: Monotonic,
    message: ConfigurationMessage,
}

struct PendingRead {
    node: usize,
    read: ServiceRead,
    until: Monotonic,
}

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn raw(text: String) -> RawTicket {
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    RawTicket {
        number: TicketNumber(value["number"].as_u64().unwrap()),
        body: Bytes::from(text),
    }
}

pub fn key_ticket(number: u64, key: &str, account: Option<&str>) -> RawTicket {
    let value = account.map(|account| serde_json::json!({ "client_account": account }));
    let digest = KeyDigest::of_key(key).to_hex();
    let objects = serde_json::json!([{"kind": "api_key", "name": digest, "value": value}]);
    raw(serde_json::json!({"number": number, "objects": objects}).to_string())
}

pub fn identity(region: &str, index: usize) -> VmIdentity {
    let port = 10_000 + (u16::from(region.as_bytes()[0]) % 32) * 300 + index as u16 * 3;
    let address = |offset: u16| format!("127.0.0.1:{}", port + offset).parse().unwrap();
    VmIdentity {
        name: name(&format!("{region}-{index}")),
        spec: VmSpec {
            region: name(region),
            availability_zone: name(&format!("{region}-a")),
            caller_address: address(0),
            peer_address: address(1),
            operator_address: address(2),
            state: ServiceState::Active,
        },
    }
}

/// Returns ticket 1: the regions, the VMs, one account and one key.
pub fn roster_ticket(vms: &[VmIdentity]) -> RawTicket {
    let regions: HashSet<&str> = vms.iter().map(|vm| vm.spec.region.as_str()).collect();
    let mut objects: Vec<serde_json::Value> = regions
        .iter()
        .map(|region| {
            let value =
                serde_json::json!({"availability_zones": [format!("{region}-a")], "links": []});
            serde_json::json!({"kind": "region", "name": region, "value": value})
        })
        .collect();
    objects.extend(vms.iter().map(|vm| {
        let value = serde_json::json!({
            "region": vm.spec.region.as_str(),
            "availability_zone": vm.spec.availability_zone.as_str(),
            "caller_address": vm.spec.caller_address,
            "peer_address": vm.spec.peer_address,
            "operator_address": vm.spec.operator_address,
            "state": "active",
        });
        serde_json::json!({"kind": "vm", "name": vm.name.as_str(), "value": value})
    }));
    objects.push(serde_json::json!({"kind": "client_account", "name": "nursery", "value": {
        "allowed_regions": ["boyaca"], "rate_tokens_per_s": 10, "burst_tokens": 100, "weight": 1,
    }}));
    let key = KeyDigest::of_key("nursery-key").to_hex();
    objects.push(
        serde_json::json!({"kind": "api_key", "name": key, "value": {"client_account": "nursery"}}),
    );
    raw(serde_json::json!({"number": 1, "objects": objects}).to_string())
}

/// Returns a view in which all VMs of the catalog are alive.
pub fn view_of_all(catalog: &Catalog, local_vm: &Name) -> MembershipView {
    let alive = VmView {
        liveness: Liveness::Alive,
        is_leaving: false,
        incarnation: Incarnation(0),
        ticket_in_force: TicketNumber(0),
        load_permille: 0,
    };
    MembershipView {
        local_vm: catalog.vm_named(local_vm).unwrap(),
        incarnation: Incarnation(0),
        contact: RegionContact::Majority,
        vms: catalog
            .vms
            .keys()
            .map(|vm| (vm, alive))
            .collect::<SecondaryMap<_, _>>(),
    }
}

impl Fleet {
    pub fn new(seed: u64, regions: &[&str], vms_per_region: usize) -> Self {
        let identities: Vec<VmIdentity> = regions
            .iter()
            .flat_map(|region| (0..vms_per_region).map(|index| identity(region, index)))
            .collect();
        let mut fleet = Self {
            now: Monotonic::ZERO,
            nodes: Vec::new(),
            published: vec![roster_ticket(&identities)],
            pinned_ticket: None,
            page_max_tickets: usize::MAX,
            regions_with_service: regions.iter().map(|region| region.to_string()).collect(),
            partitions: HashSet::new(),
            loss: 0.0,
            duplication: 0.0,
            rng: StdRng::seed_from_u64(seed),
            positions: HashMap::new(),
            pending: Vec::new(),
            reads: Vec::new(),
        };
        for identity in identities {
            fleet.add(identity, Vec::new());
        }
        fleet
    }

    pub fn add(&mut self, identity: VmIdentity, seeds: Vec<VmIdentity>) -> usize {
        let settings = ConfigurationSettings::default();
        self.positions
            .insert(identity.name.clone(), self.nodes.len());
        self.nodes.push(Node {
            controller: ConfigurationController::new(settings, identity.clone(), seeds, self.now),
            identity,
            audit: Vec::new(),
            is_up: true,
            versions: BTreeMap::new(),
        });
        self.nodes.len() - 1
    }

    /// Replaces the process of a VM with a new one that has no state.
    pub fn restart(&mut self, node: usize) {
        let identity = self.nodes[node].identity.clone();
        let settings = ConfigurationSettings::default();
        self.nodes[node].controller =
            ConfigurationController::new(settings, identity, Vec::new(), self.now);
        self.nodes[node].versions.clear();
        self.nodes[node].audit.clear();
        self.reads.retain(|read| read.node != node);
    }

    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.insert((a.to_owned(), b.to_owned()));
        self.partitions.insert((b.to_owned(), a.to_owned()));
    }

    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        self.answer_reads();
        for node in 0..self.nodes.len() {
            if self.nodes[node].is_up {
                self.tick(node);
            }
        }
    }

    pub fn is_converged(&self) -> bool {
        let root = self.nodes[0].controller.root();
        self.nodes.iter().all(|node| node.controller.root() == root)
    }

    pub fn has_key(&self, node: usize, key: &str) -> bool {
        let catalog = self.nodes[node].controller.catalog();
        let digest = KeyDigest::of_key(key);
        catalog.client_account_of_key(&digest).is_some()
    }

    fn tick(&mut self, node: usize) {
        let catalog = self.nodes[node].controller.catalog();
        let Some(view) = self.view(node, &catalog) else {
            return;
        };
        let mut out = Vec::new();
        let controller = &mut self.nodes[node].controller;
        controller.tick(self.now, &view, &mut self.rng, &mut out);
        self.act(node, out);
    }

    fn view(&self, node: usize, catalog: &Arc<Catalog>) -> Option<MembershipView> {
        let local = &self.nodes[node].identity;
        catalog.vm_named(&local.name)?;
        let mut view = view_of_all(catalog, &local.name);
        if self.partitions.is_empty() && self.nodes.iter().all(|node| node.is_up) {
            return Some(view);
        }
        for other in &self.nodes {
            let is_reachable = other.is_up && !self.is_partitioned(local, &other.identity);
            let key = catalog.vm_named(&other.identity.name);
            if let Some(vm) = key.filter(|_| !is_reachable) {
                view.vms[vm].liveness = Liveness::Dead;
            }
        }
        Some(view)
    }

    fn is_partitioned(&self, a: &VmIdentity, b: &VmIdentity) -> bool {
        let regions = (a.spec.region.to_string(), b.spec.region.to_string());
        self.partitions.contains(&regions)
    }

    fn act(&mut self, node: usize, actions: Vec<ConfigurationAction>) {
        for action in actions {
            match action {
                ConfigurationAction::Send { to, message } => self.send(node, to, message),
                ConfigurationAction::Publish(catalog) => {
                    let local_vm = &self.nodes[node].identity.name;
                    assert!(
                        catalog.vm_named(local_vm).is_some(),
                        "the catalog lacks the local VM"
                    );
                }
                ConfigurationAction::Read(read) => self.reads.push(PendingRead {
                    node,
                    until: self.now + read.wait,
                    read,
                }),
                ConfigurationAction::Audit(event) => self.nodes[node].audit.push(event),
            }
        }
        self.check_never_reverts(node);
    }

    fn send(&mut self, from: usize, to: figramp::catalog::VmKey, message: ConfigurationMessage) {
        let to = self.nodes[from].controller.catalog().vms[to].name.clone();
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay_ms = self.rng.random_range(1..=150);
            self.pending.push(Pending {
                from,
                to: to.clone(),
                due: self.now + Duration::from_millis(delay_ms),
                message: message.clone(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|message| message.due <= now);
        self.pending = pending;
        let due: Vec<Pending> = due;
        for message in due {
            self.deliver_one(message);
        }
    }

    fn deliver_one(&mut self, message: Pending) {
        let sender = self.nodes[message.from].identity.clone();
        let Some(to) = self.positions.get(&message.to).copied() else {
            return;
        };
        if !self.nodes[to].is_up || self.is_partitioned(&sender, &self.nodes[to].identity) {
            return;
        }
        let mut out = Vec::new();
        let controller = &mut self.nodes[to].controller;
        if controller.catalog().vm_named(&sender.name).is_none() {
            controller.introduce(self.now, sender.clone(), &mut out);
        }
        if let Some(from) = controller.catalog().vm_named(&sender.name) {
            controller.on_message(self.now, from, message.message, &mut out);
        }
        self.act(to, out);
    }

    fn answer_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        for pending in reads {
            match self.answer(&pending) {
                Some(outcome) if self.nodes[pending.node].is_up => {
                    let mut out = Vec::new();
                    let controller = &mut self.nodes[pending.node].controller;
                    controller.on_read(self.now, pending.read.kind, outcome, &mut out);
                    self.act(pending.node, out);
                }
                Some(_) => {}
                None => self.reads.push(pending),
            }
        }
    }

    fn answer(&self, pending: &PendingRead) -> Option<Result<TicketBatch, PlatformError>> {
        let region = self.nodes[pending.node].identity.spec.region.to_string();
        if !self.regions_with_service.contains(&region) {
            let reason = "down".to_owned();
            return Some(Err(PlatformError::Unavailable { reason }));
        }
        let is_visible = |ticket: &&RawTicket| {
            ticket.number > pending.read.after
                && self.pinned_ticket.is_none_or(|pin| ticket.number.0 <= pin)
        };
        let visible = self.published.iter().filter(is_visible);
        let tickets: Vec<RawTicket> = visible.take(self.page_max_tickets).cloned().collect();
        let is_due = !tickets.is_empty() || self.now >= pending.until;
        is_due.then_some(Ok(TicketBatch { tickets }))
    }

    fn check_never_reverts(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        for record in node.controller.store().records() {
            let before = node.versions.insert(record.id.clone(), record.version);
            assert!(
                before.is_none_or(|before| before <= record.version),
                "{} reverted to an earlier version",
                record.id
            );
        }
    }
}
