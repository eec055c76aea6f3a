//! Controllers of one region and the messages between them, in virtual time.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use figramp::catalog::Catalog;
use figramp::catalog::Repeatability;
use figramp::catalog::VmKey;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::idempotency::CallOutcome;
use figramp::idempotency::IdempotencyAction;
use figramp::idempotency::IdempotencyAnswer;
use figramp::idempotency::IdempotencyController;
use figramp::idempotency::IdempotencyMessage;
use figramp::idempotency::IdempotencySettings;
use figramp::idempotency::StoredAnswer;
use figramp::membership::Liveness;
use figramp::membership::MembershipView;
use figramp::request::Call;
use figramp::request::CallBody;
use figramp::request::HttpMethod;
use figramp::request::IdempotencyKey;
use figramp::request::RequestId;
use figramp::request::ServiceCall;
use figramp::request::Usage;

use crate::routing::published;
use crate::routing::published::Published;

pub const VM_COUNT: usize = 5;

pub struct Node {
    pub key: VmKey,
    pub controller: IdempotencyController,
    pub view: MembershipView,
    pub is_paused: bool,
}

pub struct Envelope {
    pub to: usize,
    pub from: VmKey,
    pub message: IdempotencyMessage,
}

/// The answer that the caller of a submission got, and the key of the submission.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    pub key: usize,
    pub answer: IdempotencyAnswer,
}

pub struct Fleet {
    pub now: Monotonic,
    pub catalog: Arc<Catalog>,
    pub settings: IdempotencySettings,
    pub nodes: Vec<Node>,
    pub messages: Vec<Envelope>,
    /// Pairs of VMs (sender, receiver) whose messages are dropped.
    pub partitions: HashSet<(usize, usize)>,
    /// Submissions that proceeded and have not ended: coordinator, request and key.
    pub running: Vec<(usize, RequestId, usize)>,
    /// The number of times that the call of each key ran or may have run.
    pub runs: HashMap<usize, u32>,
    pub answers: HashMap<RequestId, Answered>,
    pub proceeded: HashSet<RequestId>,
    keys: HashMap<RequestId, usize>,
    last_request: u128,
    last_boot: u64,
}

pub fn published(vm_count: usize) -> Published {
    Published::default()
        .regions(&["north"], 1_000, 1_000_000)
        .vms("north", vm_count)
        .route("book", WorkClass::Interactive, Repeatability::NonIdempotent)
        .endpoints("north", &["book"], 1, 4)
        .account("house", &["north"], 1)
}

pub fn stored_answer() -> StoredAnswer {
    StoredAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: Bytes::from_static(b"booked"),
        usage: Usage::default(),
    }
}

impl Fleet {
    pub fn new() -> Self {
        let catalog = Arc::new(published(VM_COUNT).build(&Catalog::default()));
        let mut fleet = Self {
            now: Monotonic::from_ms(1),
            catalog: catalog.clone(),
            settings: IdempotencySettings::default(),
            nodes: Vec::new(),
            messages: Vec::new(),
            partitions: HashSet::new(),
            running: Vec::new(),
            runs: HashMap::new(),
            answers: HashMap::new(),
            proceeded: HashSet::new(),
            keys: HashMap::new(),
            last_request: 0,
            last_boot: 0,
        };
        for index in 0..VM_COUNT {
            let key = published::vm(&catalog, &format!("north-vm{index}"));
            let node = fleet.start_node(key);
            fleet.nodes.push(node);
        }
        fleet.tick();
        fleet.deliver_all();
        assert!(fleet.is_synced());
        fleet
    }

    pub fn is_synced(&self) -> bool {
        self.nodes.iter().all(|node| node.controller.is_synced())
    }

    /// Replaces the process of a VM by a new one without records.
    pub fn replace(&mut self, index: usize) {
        let key = self.nodes[index].key;
        self.nodes[index] = self.start_node(key);
        self.running.retain(|(node, _, _)| *node != index);
    }

    pub fn call(&self, request: RequestId, key: usize) -> Call {
        let account = published::account(&self.catalog, "house");
        let route = published::route(&self.catalog, "book");
        Call {
            id: request,
            repeatability: Repeatability::NonIdempotent,
            body: CallBody::Service(ServiceCall {
                method: HttpMethod::Post,
                path_and_query: "/book".to_owned(),
                content_type: None,
                body: Bytes::from(format!("order {key}")),
            }),
            idempotency_key: Some(IdempotencyKey::new(format!("key-{key}")).unwrap()),
            ..published::completion(route, Some(account), 1)
        }
    }

    pub fn submit(&mut self, index: usize, key: usize) -> RequestId {
        self.last_request += 1;
        let request = RequestId(self.last_request);
        self.keys.insert(request, key);
        let call = self.call(request, key);
        self.with_node(index, |node, now, out| {
            node.controller.begin(now, &node.view, &call, out);
        });
        request
    }

    pub fn finish(&mut self, position: usize, outcome: CallOutcome) {
        let (index, request, key) = self.running.remove(position);
        if outcome == CallOutcome::NotRun {
            *self.runs.get_mut(&key).unwrap() -= 1;
        }
        self.with_node(index, |node, now, out| {
            node.controller.finish(now, request, outcome, out);
        });
    }

    pub fn deliver(&mut self, position: usize) {
        let Envelope { to, from, message } = self.messages.remove(position);
        self.with_node(to, |node, now, out| {
            node.controller
                .on_message(now, &node.view, from, message, out);
        });
    }

    pub fn deliver_all(&mut self) {
        while let Some(position) = self
            .messages
            .iter()
            .position(|envelope| !self.nodes[envelope.to].is_paused)
        {
            self.deliver(position);
        }
    }

    pub fn advance(&mut self, step: Duration) {
        self.now = self.now + step;
        self.tick();
    }

    pub fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_paused {
                self.with_node(index, |node, now, out| {
                    node.controller.tick(now, &node.view, out);
                });
            }
        }
    }

    pub fn set_liveness(&mut self, index: usize, other: usize, liveness: Liveness) {
        let other = self.nodes[other].key;
        let node = &mut self.nodes[index];
        if other != node.key {
            node.view.vms[other].liveness = liveness;
        }
    }

    pub fn set_partitioned(&mut self, index: usize, other: usize, is_partitioned: bool) {
        for pair in [(index, other), (other, index)] {
            if is_partitioned {
                self.partitions.insert(pair);
            } else {
                self.partitions.remove(&pair);
            }
        }
    }

    pub fn with_node(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut Node, Monotonic, &mut Vec<IdempotencyAction>),
    ) {
        let mut out = Vec::new();
        step(&mut self.nodes[index], self.now, &mut out);
        for action in out {
            self.apply(index, action);
        }
    }

    fn start_node(&mut self, key: VmKey) -> Node {
        self.last_boot += 1;
        let controller = IdempotencyController::new(
            self.now,
            key,
            self.last_boot,
            self.settings,
            self.catalog.clone(),
        );
        Node {
            key,
            controller,
            view: published::view(&self.catalog, key),
            is_paused: false,
        }
    }

    fn apply(&mut self, index: usize, action: IdempotencyAction) {
        match action {
            IdempotencyAction::Send { to, message } => {
                let from = self.nodes[index].key;
                let to = self.nodes.iter().position(|node| node.key == to);
                if let Some(to) = to.filter(|to| !self.partitions.contains(&(index, *to))) {
                    self.messages.push(Envelope { to, from, message });
                }
            }
            IdempotencyAction::Proceed { id } => {
                let key = self.keys[&id];
                assert!(self.proceeded.insert(id), "{id} proceeds twice");
                assert!(
                    !self.answers.contains_key(&id),
                    "{id} proceeds after it was answered"
                );
                *self.runs.entry(key).or_default() += 1;
                self.running.push((index, id, key));
            }
            IdempotencyAction::Answer { id, answer } => {
                let key = self.keys[&id];
                assert!(
                    !self.proceeded.contains(&id),
                    "{id} is answered after it proceeded"
                );
                assert_eq!(self.answers.insert(id, Answered { key, answer }), None);
            }
        }
    }
}
