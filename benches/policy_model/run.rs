//! The loop over events in virtual time.

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
use figramp::request::Usage;
use figramp::request::Visited;
use figramp::routing::Attempt;
use figramp::routing::EndpointFailure;
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
const RETRY_AFTER_LATE: Duration = Duration::from_secs(1);

/// How VMs choose an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any endpoint of the own region.
    Random,
    /// The endpoint of the own region with the fewest reported and own requests.
    LeastOutstanding,
    /// The endpoint of any region with the fewest reported and own requests.
    LeastAnywhere,
    /// The gateway's choice; a refusing VM tells the one that asked.
    Return,
    /// The gateway's choice; a refusing VM passes the request on to the next region.
    Chain,
}

/// What happens to an engine.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    Down,
    Up,
    Slow(u64),
}

/// One run.
pub struct Setup {
    pub size: Size,
    pub policy: Policy,
    pub is_fair: bool,
    pub do_refused_come_back: bool,
    pub short_start_by: Duration,
    pub long_start_by: Duration,
    pub has_reports: bool,
    /// Second, engine and change.
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

/// A request that was sent to another region, as the sender sees it.
struct Away {
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
    away: Vec<Option<Away>>,
    /// When each request came, or came back.
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
            away: (0..count).map(|_| None).collect(),
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

    /// Runs until `end_s`, and then on until nothing is under way.
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
            None => self.refuse(request, vm, RETRY_AFTER_LATE),
        }
    }

    fn choose(&mut self, request: usize, vm: usize, crossings_max: usize) -> Option<RouteChoice> {
        self.nodes[vm].choose(
            Monotonic::from_us(self.now_us),
            &self.catalog,
            &self.calls[request],
            &self.excluded[request],
            crossings_max,
            &mut self.rng,
        )
    }

    fn baseline(&mut self, vm: usize) -> usize {
        let region = self.nodes[vm].region;
        let now = Monotonic::from_us(self.now_us);
        let healthy = |engine: &usize| {
            let load = self.nodes[vm]
                .loads
                .get(self.endpoint_keys[*engine])
                .unwrap();
            !matches!(
                load.health(now),
                figramp::routing::Health::CoolingDown { .. }
            )
        };
        let all: Vec<usize> = (0..self.engines.len()).filter(healthy).collect();
        let local: Vec<usize> = all
            .iter()
            .copied()
            .filter(|engine| self.engines[*engine].region == region)
            .collect();
        let is_anywhere = self.setup.policy == Policy::LeastAnywhere;
        let usable = if local.is_empty() || is_anywhere {
            all
        } else {
            local
        };
        if usable.is_empty() {
            return 0;
        }
        if self.setup.policy == Policy::Random {
            return usable[self.rng.random_range(0..usable.len())];
        }
        let outstanding = |engine: usize| {
            let load = self.nodes[vm]
                .loads
                .get(self.endpoint_keys[engine])
                .unwrap();
            let reported = load
                .report(now)
                .map_or(0, |report| report.running + report.waiting);
            (reported + load.own_requests(), engine)
        };
        usable
            .into_iter()
            .min_by_key(|engine| outstanding(*engine))
            .unwrap()
    }

    fn enqueue(&mut self, request: usize, vm: usize) {
        let now = Monotonic::from_us(self.now_us);
        let start_by = match self.results.requests[request].class {
            WorkClass::Interactive => self.setup.short_start_by,
            WorkClass::Long => self.setup.long_start_by,
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
            self.results.outcomes[request].late_refusals += 1;
            self.refuse(request, vm, RETRY_AFTER_LATE);
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

    fn forward(&mut self, request: usize, vm: usize, to: usize, endpoint: EndpointKey) {
        let now = Monotonic::from_us(self.now_us);
        if self.away[request].is_none() {
            let load = self.nodes[vm].loads.get(endpoint).unwrap();
            let network = Duration::from_micros(2 * self.setup.size.one_way_us);
            let attempt = Some(load.on_forwarded(now, &self.calls[request], network));
            self.away[request] = Some(Away {
                vm,
                endpoint,
                attempt,
            });
        }
        let region = self.catalog.vms[self.nodes[vm].key].region;
        self.calls[request].visited.push(self.nodes[vm].key, region);
        self.results.outcomes[request].crossings += 1;
        self.after(
            self.setup.size.one_way_us,
            Event::Arrive { request, vm: to },
        );
    }

    fn refuse(&mut self, request: usize, vm: usize, retry_after: Duration) {
        if self.away[request].is_some() {
            if self.setup.policy == Policy::Chain && self.pass_on(request, vm) {
                return;
            }
            let region = self.catalog.vms[self.nodes[vm].key].region;
            self.calls[request].visited.push(self.nodes[vm].key, region);
            let vm = self.away[request].as_ref().unwrap().vm;
            self.after(self.setup.size.one_way_us, Event::Refused { request, vm });
            return;
        }
        let outcome = &mut self.results.outcomes[request];
        outcome.refusals += 1;
        if self.setup.do_refused_come_back && outcome.refusals == 1 {
            self.calls[request].visited = Visited::default();
            let back_at_us = self.now_us + retry_after.as_micros() as u64;
            self.arrived_us[request] = back_at_us;
            self.results.outcomes[request].back_at_us = back_at_us;
            self.after(
                retry_after.as_micros() as u64,
                Event::Arrive { request, vm },
            );
        }
    }

    /// Passes a request on to a region that it has not passed.
    fn pass_on(&mut self, request: usize, vm: usize) -> bool {
        let region = self.nodes[vm].region;
        let local = (0..self.engines.len()).filter(|engine| self.engines[*engine].region == region);
        let mut excluded = self.excluded[request].clone();
        excluded.extend(local.map(|engine| self.endpoint_keys[engine]));
        let before = std::mem::replace(&mut self.excluded[request], excluded);
        let choice = self.choose(request, vm, 2);
        self.excluded[request] = before;
        let Some(RouteChoice::Forward {
            vm: to,
            preferred_endpoint,
            ..
        }) = choice
        else {
            return false;
        };
        let to = self.nodes.iter().position(|node| node.key == to).unwrap();
        self.forward(request, vm, to, preferred_endpoint);
        true
    }

    /// The sender hears that the other region refused: it tries the third region, or its queue.
    fn refused(&mut self, request: usize, vm: usize) {
        let now = Monotonic::from_us(self.now_us);
        if let Some(Away {
            endpoint,
            attempt: Some(attempt),
            ..
        }) = self.away[request].take()
        {
            let load = self.nodes[vm].loads.get(endpoint).unwrap();
            load.on_failed(now, attempt, EndpointFailure::Refused);
        }
        let visited = self.calls[request].visited.vms.len();
        let crossings_max = if visited < 3 { visited + 1 } else { 0 };
        match self.choose(request, vm, crossings_max) {
            Some(RouteChoice::Forward {
                vm: to,
                preferred_endpoint,
                ..
            }) if self.setup.policy == Policy::Return => {
                let to = self.nodes.iter().position(|node| node.key == to).unwrap();
                self.forward(request, vm, to, preferred_endpoint);
            }
            _ => self.enqueue(request, vm),
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
            self.results.outcomes[request].crossings += 1;
        }
        if !self.engines[engine].is_up {
            self.after(2_000, Event::Failed { attempt: index });
            return;
        }
        let asked = &self.results.requests[request];
        self.engines[engine].waiting.push_back(Job {
            attempt: index,
            prompt_tokens: asked.prompt_tokens,
            answer_tokens: asked.answer_tokens,
            prefix_hashes: asked.prefix_hashes.clone(),
        });
        self.start(engine);
    }

    fn start(&mut self, engine: usize) {
        for started in self.engines[engine].start(self.now_us) {
            self.at(started.first_token_us, Event::FirstToken { started });
            self.at(started.done_us, Event::Done { started });
        }
    }

    fn first_token(&mut self, started: Started) {
        let sent = &mut self.sent[started.attempt];
        let Some(attempt) = &mut sent.attempt else {
            return;
        };
        let node = &self.nodes[sent.vm];
        let load = node.loads.get(self.endpoint_keys[sent.engine]).unwrap();
        load.on_first_event(Monotonic::from_us(self.now_us), attempt);
        let mut at_us = self.now_us;
        if let Some(away) = &mut self.away[sent.request] {
            at_us += self.setup.size.one_way_us;
            let load = self.nodes[away.vm].loads.get(away.endpoint).unwrap();
            if let Some(attempt) = &mut away.attempt {
                load.on_first_event(Monotonic::from_us(at_us), attempt);
            }
        } else if node.region != self.engines[sent.engine].region {
            at_us += 2 * self.setup.size.one_way_us;
        }
        let outcome = &mut self.results.outcomes[sent.request];
        outcome.first_token_us = Some(outcome.first_token_us.unwrap_or(at_us));
    }

    fn done(&mut self, started: Started) {
        let sent = &mut self.sent[started.attempt];
        let (request, vm, engine) = (sent.request, sent.vm, sent.engine);
        let Some(attempt) = sent.attempt.take() else {
            return;
        };
        let now = Monotonic::from_us(self.now_us);
        let usage = Usage {
            prompt_tokens: started.prompt_tokens,
            cached_tokens: started.cached_tokens,
            answer_tokens: 1,
        };
        let load = self.nodes[vm]
            .loads
            .get(self.endpoint_keys[engine])
            .unwrap();
        load.on_done(now, attempt, usage);
        if let Some(Away {
            vm,
            endpoint,
            attempt: Some(attempt),
        }) = self.away[request].take()
        {
            let load = self.nodes[vm].loads.get(endpoint).unwrap();
            load.on_done(now, attempt, usage);
        }
        let outcome = &mut self.results.outcomes[request];
        outcome.is_done = true;
        outcome.cached_tokens = started.cached_tokens;
        self.engines[engine].finish(started.attempt);
        self.start(engine);
        self.drain(vm);
    }

    fn failed(&mut self, index: usize) {
        let sent = &mut self.sent[index];
        let (request, vm, engine) = (sent.request, sent.vm, sent.engine);
        let Some(attempt) = sent.attempt.take() else {
            return;
        };
        let endpoint = self.endpoint_keys[engine];
        let load = self.nodes[vm].loads.get(endpoint).unwrap();
        load.on_failed(
            Monotonic::from_us(self.now_us),
            attempt,
            EndpointFailure::Broken,
        );
        self.excluded[request].push(endpoint);
        if self.excluded[request].len() < ATTEMPTS_MAX {
            self.arrive(request, vm);
        }
    }

    fn take_report(&mut self, vm: usize) {
        let region = self.nodes[vm].region;
        let is_told_all = self.setup.policy == Policy::LeastAnywhere;
        let reports = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.region == region || is_told_all)
            .filter(|(_, engine)| engine.is_up)
            .map(|(index, engine)| {
                let report = LoadReport {
                    running: engine.running.len() as u32,
                    waiting: engine.waiting.len() as u32,
                    age_ms: REPORT_LAG_US / 1_000,
                    ..LoadReport::default()
                };
                (index, report)
            })
            .collect();
        self.after(REPORT_LAG_US, Event::Report { vm, reports });
        self.after(REPORT_EVERY_US, Event::TakeReport { vm });
    }

    fn report(&mut self, vm: usize, reports: Vec<(usize, LoadReport)>) {
        let now = Monotonic::from_us(self.now_us);
        for (engine, report) in reports {
            let load = self.nodes[vm]
                .loads
                .get(self.endpoint_keys[engine])
                .unwrap();
            load.on_report(now, &report);
        }
        self.drain(vm);
    }

    fn gossip(&mut self) {
        let size = self.setup.size;
        for index in 0..self.nodes.len() {
            let region = self.nodes[index].region;
            let places = size.engines[region] as u32 * size.concurrency;
            let part = places / size.vms[region] as u32;
            let load_permille = self.nodes[index].own_requests() * 1_000 / part.max(1);
            let key = self.nodes[index].key;
            for node in &mut self.nodes {
                node.view.vms[key].load_permille = load_permille;
            }
        }
        self.after(GOSSIP_EVERY_US, Event::Gossip);
    }

    fn tick(&mut self) {
        for vm in 0..self.nodes.len() {
            if !self.nodes[vm].is_idle() {
                self.drain(vm);
            }
        }
        self.after(TICK_US, Event::Tick);
    }

    fn change(&mut self, engine: usize, change: Change) {
        match change {
            Change::Down => {
                for attempt in self.engines[engine].fail() {
                    self.after(0, Event::Failed { attempt });
                }
            }
            Change::Up => self.engines[engine].is_up = true,
            Change::Slow(slowness) => self.engines[engine].slowness = slowness,
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
