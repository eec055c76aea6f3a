//! What the requests of this VM, their answers and other VMs say about the endpoints.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::endpoint_notice::EndpointNotice;
use super::AttemptOutcome;
use super::EndpointKey;
use super::EndpointTable;
use super::Placement;
use crate::clock::Monotonic;
use crate::deployment::InstanceId;
use crate::fleet::EndpointBacklog;

impl EndpointTable {
    /// Records a request that is about to be sent to an endpoint.
    pub fn on_sent(&mut self, now: Monotonic, placement: &Placement) {
        if let Some(state) = self.endpoints.get_mut(placement.endpoint) {
            if state.is_limited(now) {
                state.rate_limiter.on_sent();
            } else {
                state.rate_limiter.on_unlimited_sent(now);
            }
            state
                .load
                .on_sent(placement.priority, placement.prefill_tokens);
            state.waits.on_sent(
                placement.chosen_at,
                placement.priority,
                placement.prefill_ms,
            );
        }
    }

    /// Records the first outcome of an attempt; its prompt is no longer being prefilled.
    pub fn on_outcome(&mut self, now: Monotonic, placement: &Placement, outcome: AttemptOutcome) {
        self.on_abandoned(placement);
        if let Some(state) = self.endpoints.get_mut(placement.endpoint) {
            state.record_outcome(now, outcome);
            if let AttemptOutcome::Answered { latency } = outcome {
                let latency_ms = latency.as_secs_f64() * 1_000.0;
                let wait_ms = latency_ms - placement.prefill_ms;
                state.waits.on_answered(now, placement.priority, wait_ms);
                self.prefill_rates
                    .entry(state.record.service.clone())
                    .or_default()
                    .add(latency_ms, placement.queued_tokens);
            }
        }
    }

    /// Returns what this VM has pending at each endpoint, for the other VMs of the region.
    pub fn backlogs(&self) -> Vec<EndpointBacklog> {
        let states = self.endpoints.values();
        let backlogs = states.flat_map(|state| {
            let endpoint = state.hash;
            (0..)
                .zip(state.load.local_backlog().by_priority())
                .filter(|(_, prefill_tokens)| *prefill_tokens > 0)
                .map(move |(priority, prefill_tokens)| EndpointBacklog {
                    endpoint,
                    priority,
                    prefill_tokens,
                })
        });
        backlogs.collect()
    }

    /// Replaces what is known to be pending from another VM of the region.
    pub fn on_peer_backlogs(&mut self, now: Monotonic, ip: Ipv4Addr, backlogs: &[EndpointBacklog]) {
        self.peer_backlogs.replace(now, ip, backlogs);
    }

    /// Forgets what is known from VMs whose rows no longer arrive.
    pub fn remove_expired_backlogs(&mut self, now: Monotonic) {
        self.peer_backlogs.remove_expired(now);
    }

    /// Records a failure after the first outcome, such as an answer that broke after its head.
    pub fn on_late_outcome(
        &mut self,
        now: Monotonic,
        placement: &Placement,
        outcome: AttemptOutcome,
    ) {
        if let Some(state) = self.endpoints.get_mut(placement.endpoint) {
            state.record_outcome(now, outcome);
        }
    }

    /// Records that the client no longer waits for the first event of an attempt.
    pub fn on_abandoned(&mut self, placement: &Placement) {
        if let Some(state) = self.endpoints.get_mut(placement.endpoint) {
            state
                .load
                .on_first_event(placement.priority, placement.prefill_tokens);
            state
                .waits
                .remove_pending(placement.priority, placement.chosen_at);
        }
    }

    /// Records that a request is no longer in flight at its endpoint.
    pub fn on_done(&mut self, placement: &Placement) {
        if let Some(state) = self.endpoints.get_mut(placement.endpoint) {
            state.load.on_done();
        }
    }

    /// Records the numbers of running and waiting requests that an endpoint reported.
    pub fn on_load(&mut self, now: Monotonic, key: EndpointKey, running: u32, waiting: u32) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.load.on_report(now, running, waiting);
        }
    }

    /// Records that an endpoint reported to be cold for the `remaining` time; returns whether it
    /// counted as warm before. A report that ends sooner than another one changes nothing.
    pub fn on_cold(&mut self, now: Monotonic, key: EndpointKey, remaining: Duration) -> bool {
        let Some(state) = self.endpoints.get_mut(key) else {
            return false;
        };
        let was_cold = state.is_cold(now);
        state.cold_until = state.cold_until.max(now + remaining);
        !was_cold && state.is_cold(now)
    }

    /// Records that an endpoint announced in an answer that it is about to stop; returns whether
    /// that is new.
    ///
    /// It gets no further requests, also if it is listed again; only another instance does. The
    /// answer may come after the endpoint was removed from the listing.
    pub fn on_leaving(&mut self, now: Monotonic, instance: &InstanceId) -> bool {
        let before = self.notices.get(instance);
        let notice = self.notices.on_leaving(now, instance);
        self.set_notice(instance, notice);
        notice != before
    }

    /// Records that an endpoint wants no request of this VM for the `pause`; returns whether that
    /// extends an earlier notice.
    pub fn on_pause(&mut self, now: Monotonic, instance: &InstanceId, pause: Duration) -> bool {
        let before = self.notices.get(instance);
        let notice = self.notices.on_pause(now, instance, pause);
        self.set_notice(instance, notice);
        notice != before
    }

    fn set_notice(&mut self, instance: &InstanceId, notice: EndpointNotice) {
        let key = self.by_instance.get(instance).copied();
        if let Some(state) = key.and_then(|key| self.endpoints.get_mut(key)) {
            state.notice = notice;
        }
    }

    /// Records that another instance answered at the address of an endpoint.
    ///
    /// The endpoint gets no requests until a listing contains it again.
    pub fn on_replaced(&mut self, key: EndpointKey) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.is_listed = false;
        }
    }
}
