//! Baselines, and the way of a request from region to region.

use std::time::Duration;

use figramp::catalog::EndpointKey;
use figramp::clock::Monotonic;
use figramp::request::Visited;
use figramp::routing::EndpointFailure;
use figramp::routing::RouteChoice;
use rand::RngExt;

use super::Away;
use super::Event;
use super::Model;
use super::Policy;

impl Model {
    pub(super) fn baseline(&mut self, vm: usize) -> usize {
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
            (reported + load.local_requests(), engine)
        };
        usable
            .into_iter()
            .min_by_key(|engine| outstanding(*engine))
            .unwrap()
    }

    pub(super) fn forward(&mut self, request: usize, vm: usize, to: usize, endpoint: EndpointKey) {
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

    pub(super) fn refuse(&mut self, request: usize, vm: usize, retry_after: Duration) {
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
    pub(super) fn pass_on(&mut self, request: usize, vm: usize) -> bool {
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
    pub(super) fn refused(&mut self, request: usize, vm: usize) {
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
}
