//! The baseline policies, and the forwarding of requests from region to region.

use std::time::Duration;

use figramp::catalog::EndpointKey;
use figramp::clock::Monotonic;
use figramp::request::Visited;
use figramp::routing::EndpointFailure;
use figramp::routing::RouteChoice;
use rand::RngExt;

use super::Event;
use super::Forwarded;
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
        let uses_all_regions = self.setup.policy == Policy::LeastAnywhere;
        let usable = if local.is_empty() || uses_all_regions {
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
        if self.forwarded[request].is_none() {
            let load = self.nodes[vm].loads.get(endpoint).unwrap();
            let network_time = Duration::from_micros(2 * self.setup.size.one_way_us);
            let attempt = Some(load.on_forwarded(now, &self.calls[request], network_time));
            self.forwarded[request] = Some(Forwarded {
                vm,
                endpoint,
                attempt,
            });
        }
        let region = self.catalog.vms[self.nodes[vm].key].region;
        self.calls[request].visited.push(self.nodes[vm].key, region);
        self.results.outcomes[request].forwards += 1;
        self.after(
            self.setup.size.one_way_us,
            Event::Arrive { request, vm: to },
        );
    }

    pub(super) fn refuse(&mut self, request: usize, vm: usize, retry_after: Duration) {
        if self.forwarded[request].is_some() {
            if self.setup.policy == Policy::Chain && self.forward_refused(request, vm) {
                return;
            }
            let region = self.catalog.vms[self.nodes[vm].key].region;
            self.calls[request].visited.push(self.nodes[vm].key, region);
            let vm = self.forwarded[request].as_ref().unwrap().vm;
            self.after(self.setup.size.one_way_us, Event::Refused { request, vm });
            return;
        }
        let outcome = &mut self.results.outcomes[request];
        outcome.refusals += 1;
        if self.setup.retries_refused && outcome.refusals == 1 {
            self.calls[request].visited = Visited::default();
            let retry_at_us = self.now_us + retry_after.as_micros() as u64;
            self.arrived_us[request] = retry_at_us;
            self.results.outcomes[request].retry_at_us = retry_at_us;
            self.after(
                retry_after.as_micros() as u64,
                Event::Arrive { request, vm },
            );
        }
    }

    /// Forwards a refused request to a region not yet visited; returns whether there is one.
    pub(super) fn forward_refused(&mut self, request: usize, vm: usize) -> bool {
        let region = self.nodes[vm].region;
        let local = (0..self.engines.len()).filter(|engine| self.engines[*engine].region == region);
        let mut excluded = self.excluded[request].clone();
        excluded.extend(local.map(|engine| self.endpoint_keys[engine]));
        let previous = std::mem::replace(&mut self.excluded[request], excluded);
        let choice = self.choose(request, vm, 2);
        self.excluded[request] = previous;
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

    /// Handles a refusal by another region at the sender: forwards the request to the third region
    /// or queues it.
    pub(super) fn refused(&mut self, request: usize, vm: usize) {
        let now = Monotonic::from_us(self.now_us);
        if let Some(Forwarded {
            endpoint,
            attempt: Some(attempt),
            ..
        }) = self.forwarded[request].take()
        {
            let load = self.nodes[vm].loads.get(endpoint).unwrap();
            load.on_failed(now, attempt, EndpointFailure::Refused);
        }
        let visited = self.calls[request].visited.vms.len();
        let forwards_max = if visited < 3 { visited + 1 } else { 0 };
        match self.choose(request, vm, forwards_max) {
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
