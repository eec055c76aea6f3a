//! The event loop of the simulation, in virtual time.

mod answers;
mod forwards;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::EndpointKey;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::endpoint::LoadReport;
use figramp::request::Call;
use figramp::request::CallBody;
use figramp::routing::Attempt;
use figramp::routing::RouteChoice;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::demand::Request;
use super::engine::Engine;
use super::engine::Job;
use super::engine::Started;
use super::region_site::Size;
use super::results::Outcome;
use super::results::Results;
use super::vm_node::item;
use super::vm_node::VmNode;
use crate::published;

const REPORT_EVERY_US: u64 = 1_000_000;
const REPORT_LAG_US: u64 = 500_000;
const TICK_US: u64 = 50_000;
const GOSSIP_EVERY_US: u64 = 1_000_000;
const ATTEMPTS_MAX: usize = 3;
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The policy by which VMs choose an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random endpoint of the local region.
    Random,
    /// The endpoint of the local region with the fewest requests, reported or sent by this VM.
    LeastOutstanding,
    /// The endpoint of any region with the fewest requests, reported or sent by this VM.
    LeastAnywhere,
    /// The gateway's choice; a VM that refuses a forwarded request returns it to the sender.
    Return,
    /// The gateway's choice; a VM that refuses a forwarded request forwards it to the next region.
    Chain,
}

/// A change of an engine's state.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    Down,
    Up,
    Slow(u64),
}

/// The settings of one run.
pub struct Setup {
    pub size: Size,
    pub policy: Policy,
    pub is_fair: bool,
    pub retries_refused: bool,
    pub interactive_wait_max: Duration,
    pub long_wait_max: Duration,
    pub has_reports: bool,
    /// Time in seconds, index of the engine, and change.
    pub changes: Vec<(u64, usize, Change)>,
    pub seed: u64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive {
        request: usize,
        vm: usize,
    },
    Refused {
        request: usize,
        vm: usize,
    },
    FirstToken {
        started: Started,
    },
    Done {
        started: Started,
    },
    Failed {
        attempt: usize,
    },
    TakeReport {
        vm: usize,
    },
    Report {
        vm: usize,
        reports: Vec<(usize, LoadReport)>,
    },
    Gossip,
    Tick,
    Change {
        engine: usize,
        change: Change,
    },
}

struct Sent {
    request: usize,
    vm: usize,
    engine: usize,
    attempt: Option<Attempt>,
}

/// The sender's record of a request that it forwarded to another region.
struct Forwarded {
    vm: usize,
    endpoint: EndpointKey,
    attempt: Option<Attempt>,
}

pub struct Model {
    setup: Setup,
    catalog: Catalog,
    endpoint_keys: Vec<EndpointKey>,
    engines: Vec<Engine>,
    nodes: Vec<VmNode>,
    calls: Vec<Call>,
    excluded: Vec<Vec<EndpointKey>>,
    forwarded: Vec<Option<Forwarded>>,
    /// When each request arrived; for a retried request, when it arrived again.
    arrived_us: Vec<u64>,
    sent: Vec<Sent>,
    events: BinaryHeap<Reverse<(u64, usize)>>,
    payloads: Vec<Option<Event>>,
    now_us: u64,
    rng: StdRng,
    results: Results,
}

impl Model {
    pub fn new(setup: Setup, requests: Vec<Request>) -> Self {
        let catalog = setup.size.catalog();
        let size = setup.size;
        let nodes: Vec<VmNode> = (0..3)
            .flat_map(|region| (0..size.vms[region]).map(move |vm| (region, vm)))
            .map(|(region, vm)| {
                let name = format!("{}-vm{vm}", size.regions[region]);
                VmNode::new(&catalog, &name, region, setup.is_fair)
            })
            .collect();
        let endpoint_keys = (0..3)
            .flat_map(|region| (0..size.engines[region]).map(move |engine| (region, engine)))
            .map(|(region, engine)| {
                published::endpoint(&catalog, &format!("{}-tips-{engine}", size.regions[region]))
            })
            .collect();
        let calls: Vec<Call> = requests
            .iter()
            .map(|request| call(&catalog, request))
            .collect();
        let count = requests.len();
        Self {
            rng: StdRng::seed_from_u64(setup.seed),
            engines: size.engines(),
            setup,
            catalog,
            endpoint_keys,
            nodes,
            calls,
            excluded: vec![Vec::new(); count],
            arrived_us: requests.iter().map(|request| request.at_us).collect(),
            forwarded: (0..count).map(|_| None).collect(),
            sent: Vec::new(),
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            now_us: 0,
            results: Results {
                requests,
                outcomes: vec![Outcome::default(); count],
            },
        }
    }

    /// Runs until a minute after `end_s`, so that requests in progress can finish.
    pub fn run(mut self, end_s: u64) -> Results {
        self.schedule_all();
        let end_us = (end_s + 60) * 1_000_000;
        while let Some(Reverse((at_us, index))) = self.events.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            if let Some(event) = self.payloads[index].take() {
                self.handle(event);
            }
        }
        self.results
    }

    fn schedule_all(&mut self) {
        for request in 0..self.calls.len() {
            let vm = self.random_vm(self.results.requests[request].region);
            let at_us = self.results.requests[request].at_us;
            self.at(at_us, Event::Arrive { request, vm });
        }
        let reporting = if self.setup.has_reports {
            self.nodes.len()
        } else {
            0
        };
        for vm in 0..reporting {
            let at_us = self.rng.random_range(0..REPORT_EVERY_US);
            self.at(at_us, Event::TakeReport { vm });
        }
        self.at(GOSSIP_EVERY_US, Event::Gossip);
        self.at(TICK_US, Event::Tick);
        for (at_s, engine, change) in self.setup.changes.clone() {
            self.at(at_s * 1_000_000, Event::Change { engine, change });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { request, vm } => self.arrive(request, vm),
            Event::Refused { request, vm } => self.refused(request, vm),
            Event::FirstToken { started } => self.first_token(started),
            Event::Done { started } => self.done(started),
            Event::Failed { attempt } => self.failed(attempt),
            Event::TakeReport { vm } => self.take_report(vm),
            Event::Report { vm, reports } => self.report(vm, reports),
            Event::Gossip => self.gossip(),
            Event::Tick => self.tick(),
            Event::Change { engine, change } => self.change(engine, change),
        }
    }

    fn arrive(&mut self, request: usize, vm: usize) {
        let choice = match self.setup.policy {
            Policy::Random | Policy::LeastOutstanding | Policy::LeastAnywhere => {
                let engine = self.baseline(vm);
                self.send(request, vm, engine);
                return;
            }
            Policy::Return => self.choose(request, vm, 1),
            Policy::Chain => self.choose(request, vm, 2),
        };
        match choice {
            Some(RouteChoice::Local(_) | RouteChoice::Queue) => self.enqueue(request, vm),
            Some(RouteChoice::Forward {
                vm: to,
                preferred_endpoint,
                ..
            }) => {
                let to = self.nodes.iter().position(|node| node.key == to).unwrap();
                self.forward(request, vm, to, preferred_endpoint);
            }
            None => self.refuse(request, vm, DEFAULT_RETRY_AFTER),
        }
    }

    fn choose(&mut self, request: usize, vm: usize, forwards_max: usize) -> Option<RouteChoice> {
        self.nodes[vm].choose(
            Monotonic::from_us(self.now_us),
            &self.catalog,
            &self.calls[request],
            &self.excluded[request],
            forwards_max,
            &mut self.rng,
        )
    }

    fn enqueue(&mut self, request: usize, vm: usize) {
        let now = Monotonic::from_us(self.now_us);
        let start_by = match self.results.requests[request].class {
            WorkClass::Interactive => self.setup.interactive_wait_max,
            WorkClass::Long => self.setup.long_wait_max,
        };
        let start_by = Monotonic::from_us(self.arrived_us[request]) + start_by;
        let item = item(&self.catalog, &self.calls[request], request, start_by);
        match self.nodes[vm].offer(now, item) {
            Ok(()) => self.drain(vm),
            Err(retry_after) => self.refuse(request, vm, retry_after),
        }
    }

    fn drain(&mut self, vm: usize) {
        let now = Monotonic::from_us(self.now_us);
        for request in self.nodes[vm].expire(now) {
            self.results.outcomes[request].queue_refusals += 1;
            self.refuse(request, vm, DEFAULT_RETRY_AFTER);
        }
        while let Some((request, endpoint)) = self.nodes[vm].next(
            now,
            &self.catalog,
            &self.calls,
            &self.excluded,
            &mut self.rng,
        ) {
            let engine = self.endpoint_keys.iter().position(|key| *key == endpoint);
            self.send(request, vm, engine.unwrap());
        }
    }

    fn send(&mut self, request: usize, vm: usize, engine: usize) {
        let now = Monotonic::from_us(self.now_us);
        let load = self.nodes[vm]
            .loads
            .get(self.endpoint_keys[engine])
            .unwrap();
        let attempt = load.on_sent(now, &self.calls[request]);
        let index = self.sent.len();
        self.sent.push(Sent {
            request,
            vm,
            engine,
            attempt: Some(attempt),
        });
        if self.nodes[vm].region != self.engines[engine].region {
            self.results.outcomes[request].forwards += 1;
        }
        if !self.engines[engine].is_up {
            self.after(2_000, Event::Failed { attempt: index });
            return;
        }
        let sent_request = &self.results.requests[request];
        self.engines[engine].waiting.push_back(Job {
            attempt: index,
            prompt_tokens: sent_request.prompt_tokens,
            answer_tokens: sent_request.answer_tokens,
            prefix_hashes: sent_request.prefix_hashes.clone(),
        });
        self.start(engine);
    }

    fn start(&mut self, engine: usize) {
        for started in self.engines[engine].start(self.now_us) {
            self.at(started.first_token_us, Event::FirstToken { started });
            self.at(started.done_us, Event::Done { started });
        }
    }

    fn random_vm(&mut self, region: usize) -> usize {
        let first: usize = self.setup.size.vms[..region].iter().sum();
        first + self.rng.random_range(0..self.setup.size.vms[region])
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, self.payloads.len())));
        self.payloads.push(Some(event));
    }
}

fn call(catalog: &Catalog, request: &Request) -> Call {
    let route = match request.class {
        WorkClass::Interactive => "tips",
        WorkClass::Long => "reviews",
    };
    let account = published::account(catalog, &format!("account-{}", request.account));
    let route = published::route(catalog, route);
    let mut call = published::completion(route, Some(account), request.prompt_tokens);
    call.reserved_tokens = request.prompt_tokens + request.answer_tokens;
    if let CallBody::Completion(completion) = &mut call.body {
        completion.prefix_hashes = request.prefix_hashes.clone();
    }
    call
}
