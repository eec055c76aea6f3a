//! The events of engines (answers, failures, load reports, changes) and of the VMs' timers.

use figramp::clock::Monotonic;
use figramp::endpoint::LoadReport;
use figramp::request::Usage;
use figramp::routing::EndpointFailure;

use super::Change;
use super::Event;
use super::Forwarded;
use super::Model;
use super::Policy;
use super::ATTEMPTS_MAX;
use super::GOSSIP_EVERY_US;
use super::REPORT_EVERY_US;
use super::REPORT_LAG_US;
use super::TICK_US;
use crate::policy_model::engine::Started;

impl Model {
    pub(super) fn first_token(&mut self, started: Started) {
        let sent = &mut self.sent[started.attempt];
        let Some(attempt) = &mut sent.attempt else {
            return;
        };
        let node = &self.nodes[sent.vm];
        let load = node.loads.get(self.endpoint_keys[sent.engine]).unwrap();
        load.on_first_event(Monotonic::from_us(self.now_us), attempt);
        let mut at_us = self.now_us;
        if let Some(forwarded) = &mut self.forwarded[sent.request] {
            at_us += self.setup.size.one_way_us;
            let load = self.nodes[forwarded.vm]
                .loads
                .get(forwarded.endpoint)
                .unwrap();
            if let Some(attempt) = &mut forwarded.attempt {
                load.on_first_event(Monotonic::from_us(at_us), attempt);
            }
        } else if node.region != self.engines[sent.engine].region {
            at_us += 2 * self.setup.size.one_way_us;
        }
        let outcome = &mut self.results.outcomes[sent.request];
        outcome.first_token_us = Some(outcome.first_token_us.unwrap_or(at_us));
    }

    pub(super) fn done(&mut self, started: Started) {
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
        if let Some(Forwarded {
            vm,
            endpoint,
            attempt: Some(attempt),
        }) = self.forwarded[request].take()
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

    pub(super) fn failed(&mut self, index: usize) {
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

    pub(super) fn take_report(&mut self, vm: usize) {
        let region = self.nodes[vm].region;
        let reads_all_regions = self.setup.policy == Policy::LeastAnywhere;
        let reports = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.region == region || reads_all_regions)
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

    pub(super) fn report(&mut self, vm: usize, reports: Vec<(usize, LoadReport)>) {
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

    pub(super) fn gossip(&mut self) {
        let size = self.setup.size;
        for index in 0..self.nodes.len() {
            let region = self.nodes[index].region;
            let slots = size.engines[region] as u32 * size.concurrency;
            let slots_per_vm = slots / size.vms[region] as u32;
            let load_permille = self.nodes[index].local_requests() * 1_000 / slots_per_vm.max(1);
            let key = self.nodes[index].key;
            for node in &mut self.nodes {
                node.view.vms[key].load_permille = load_permille;
            }
        }
        self.after(GOSSIP_EVERY_US, Event::Gossip);
    }

    pub(super) fn tick(&mut self) {
        for vm in 0..self.nodes.len() {
            if !self.nodes[vm].is_idle() {
                self.drain(vm);
            }
        }
        self.after(TICK_US, Event::Tick);
    }

    pub(super) fn change(&mut self, engine: usize, change: Change) {
        match change {
            Change::Down => {
                for attempt in self.engines[engine].fail() {
                    self.after(0, Event::Failed { attempt });
                }
            }
            Change::Up => self.engines[engine].is_up = true,
            Change::Slow(slowdown_factor) => self.engines[engine].slowdown_factor = slowdown_factor,
        }
    }
}
