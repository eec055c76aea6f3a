//! The load of one endpoint, as known to one VM.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;

use super::attempt::prefix_hashes;
use super::attempt::prompt_tokens;
use super::health::Breaker;
use super::in_flight_history::InFlightHistory;
use super::service_times::ObservedServiceTimes;
use super::Attempt;
use super::EndpointEvent;
use super::EndpointFailure;
use super::Health;
use super::PrefixTable;
use super::ReportedLoad;
use super::ServiceTimes;
use crate::clock::Monotonic;
use crate::endpoint::CacheEvent;
use crate::endpoint::LoadReport;
use crate::request::Call;
use crate::request::Usage;

/// The load, health and cached prefixes of one endpoint, as known to one VM.
///
/// Requests update it concurrently through atomics; a single controller applies the load reports.
#[derive(Debug, Default)]
pub struct EndpointLoad {
    local_requests: AtomicU32,
    pending_prompt_tokens: AtomicU64,
    service_times: ObservedServiceTimes,
    cache_sequence: AtomicU64,
    report: ArcSwapOption<ReportedLoad>,
    reported_at_us: AtomicU64,
    history: InFlightHistory,
    breaker: Breaker,
    prefixes: PrefixTable,
}

impl EndpointLoad {
    /// Records that a request is sent to the endpoint.
    pub fn on_sent(&self, now: Monotonic, call: &Call) -> Attempt {
        self.on_forwarded(now, call, Duration::ZERO)
    }

    /// Records that a request is forwarded to a VM of the endpoint's region.
    ///
    /// `network_time` is the expected time there and back; it is not counted as service time.
    pub fn on_forwarded(&self, now: Monotonic, call: &Call, network_time: Duration) -> Attempt {
        let prefix_hashes = prefix_hashes(call).to_vec();
        let prompt_tokens = self.uncached_tokens(prompt_tokens(call), &prefix_hashes);
        let is_probe = self.breaker.on_sent(now);
        let local_requests = self.local_requests.fetch_add(1, Ordering::AcqRel) + 1;
        self.history.record(now, local_requests);
        let ahead = self
            .pending_prompt_tokens
            .fetch_add(prompt_tokens, Ordering::AcqRel);
        for hash in &prefix_hashes {
            self.prefixes.insert(*hash);
        }
        Attempt {
            sent_at: now,
            network_time,
            first_event_at: None,
            prompt_tokens,
            work_tokens: ahead + prompt_tokens,
            prefix_hashes,
            is_probe,
            is_silent: false,
            latest_event_at: now,
        }
    }

    /// Records the first event of an answer; later events of the same attempt have no effect.
    pub fn on_first_event(&self, now: Monotonic, attempt: &mut Attempt) -> Option<EndpointEvent> {
        if attempt.first_event_at.is_some() {
            return None;
        }
        attempt.first_event_at = Some(now);
        sub(&self.pending_prompt_tokens, attempt.prompt_tokens);
        let elapsed = now
            .since(attempt.sent_at)
            .saturating_sub(attempt.network_time);
        self.service_times
            .on_first_event(elapsed, attempt.work_tokens);
        self.breaker.on_success()
    }

    /// Records an event of an answer.
    pub fn on_event(&self, now: Monotonic, attempt: &mut Attempt) -> Option<EndpointEvent> {
        attempt.latest_event_at = now;
        if attempt.first_event_at.is_none() {
            attempt.is_silent = false;
            return self.on_first_event(now, attempt);
        }
        if std::mem::take(&mut attempt.is_silent) {
            return self.breaker.on_success();
        }
        None
    }

    /// Records that no event of an answer came in time; the attempt may go on.
    ///
    /// Counts once until the next event.
    pub fn on_silence(&self, now: Monotonic, attempt: &mut Attempt) -> Option<EndpointEvent> {
        if std::mem::replace(&mut attempt.is_silent, true) {
            return None;
        }
        let is_probe = std::mem::take(&mut attempt.is_probe);
        let silence = now.since(attempt.latest_event_at);
        self.breaker.on_silence(now, silence, is_probe)
    }

    /// Records the end of a complete answer.
    pub fn on_done(
        &self,
        now: Monotonic,
        mut attempt: Attempt,
        usage: Usage,
    ) -> Option<EndpointEvent> {
        let event = self.on_first_event(now, &mut attempt);
        let elapsed = now
            .since(attempt.sent_at)
            .saturating_sub(attempt.network_time);
        self.service_times.on_done(elapsed);
        if usage.cached_tokens > usage.prompt_tokens {
            self.prefixes.clear();
        }
        self.release(now, &attempt);
        event.or_else(|| self.breaker.on_success())
    }

    /// Records that an attempt failed or was cancelled.
    pub fn on_failed(
        &self,
        now: Monotonic,
        mut attempt: Attempt,
        failure: EndpointFailure,
    ) -> Option<EndpointEvent> {
        if attempt.first_event_at.is_none() {
            sub(&self.pending_prompt_tokens, attempt.prompt_tokens);
            for hash in &attempt.prefix_hashes {
                self.prefixes.remove(*hash);
            }
        }
        self.release(now, &attempt);
        match failure {
            EndpointFailure::Silent => self.on_silence(now, &mut attempt),
            EndpointFailure::Broken => self.breaker.on_failure(now, attempt.is_probe),
            EndpointFailure::Refused | EndpointFailure::Unrelated => {
                self.breaker.on_inconclusive(attempt.is_probe);
                None
            }
        }
    }

    /// Applies a load report that arrived now, with its cache events.
    ///
    /// A report that was taken before the current one is ignored.
    pub fn on_report(&self, now: Monotonic, report: &LoadReport) {
        let age_us = report.age_ms.saturating_mul(1_000);
        let taken_at = Monotonic::from_us(now.as_us().saturating_sub(age_us));
        self.reported_at_us.store(now.as_us(), Ordering::Release);
        let is_older = self
            .report
            .load()
            .as_ref()
            .is_some_and(|known| taken_at < known.taken_at);
        if is_older {
            return;
        }
        let local_requests = self.history.at(taken_at).unwrap_or_default();
        self.report.store(Some(Arc::new(ReportedLoad {
            taken_at,
            running: report.running,
            waiting: report.waiting,
            local_requests,
            cache_used_permille: report.cache_used_permille,
        })));
        self.on_cache_events(report.cache_sequence, &report.cache_events);
    }

    /// Applies cache events up to the sequence number `last`.
    ///
    /// After a gap the known prefixes stay: a missed eviction costs one slow answer, while clearing
    /// the table would cost one for each prefix. A sequence number below the last one means that
    /// the endpoint restarted with an empty cache.
    pub fn on_cache_events(&self, last: u64, events: &[CacheEvent]) {
        let known = self.cache_sequence.load(Ordering::Acquire);
        if last < known {
            self.prefixes.clear();
        }
        for event in events {
            let is_known = last >= known && event.sequence <= known;
            if is_known {
                continue;
            }
            if event.is_stored {
                self.prefixes.insert(event.prefix_hash);
            } else {
                self.prefixes.remove(event.prefix_hash);
            }
        }
        self.cache_sequence.store(last, Ordering::Release);
    }

    /// Returns the sequence number up to which cache events were applied.
    pub fn cache_sequence(&self) -> u64 {
        self.cache_sequence.load(Ordering::Acquire)
    }

    /// Returns the state of the circuit breaker.
    pub fn health(&self, now: Monotonic) -> Health {
        self.breaker.health(now)
    }

    /// Returns the number of requests that this VM has in flight at the endpoint.
    pub fn local_requests(&self) -> u32 {
        self.local_requests.load(Ordering::Acquire)
    }

    /// Returns the uncached prompt tokens of this VM's requests that have no first event yet.
    pub fn pending_prompt_tokens(&self) -> u64 {
        self.pending_prompt_tokens.load(Ordering::Acquire)
    }

    /// Returns the latest load report, unless it is stale.
    pub fn report(&self, now: Monotonic) -> Option<ReportedLoad> {
        let report = self.report.load();
        report
            .as_ref()
            .filter(|report| !report.is_stale(now))
            .map(|report| **report)
    }

    /// Returns when the latest load report arrived; zero before the first one.
    pub fn reported_at(&self) -> Monotonic {
        Monotonic::from_us(self.reported_at_us.load(Ordering::Acquire))
    }

    /// Returns the measured service times, or `None` before the first complete answer.
    pub fn service_times(&self) -> Option<ServiceTimes> {
        self.service_times.get()
    }

    /// Returns the prefixes that the endpoint probably has in its cache.
    pub fn prefixes(&self) -> &PrefixTable {
        &self.prefixes
    }

    /// Returns the estimated uncached part of a prompt, in tokens.
    pub fn uncached_tokens(&self, prompt_tokens: u64, prefix_hashes: &[u64]) -> u64 {
        if prefix_hashes.is_empty() {
            return prompt_tokens;
        }
        let matching = self.prefixes.matching_len(prefix_hashes) as u64;
        let cached = prompt_tokens * matching / prefix_hashes.len() as u64;
        (prompt_tokens - cached).max(1)
    }

    fn release(&self, now: Monotonic, _attempt: &Attempt) {
        let before = self
            .local_requests
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                Some(count.saturating_sub(1))
            })
            .unwrap_or_default();
        self.history.record(now, before.saturating_sub(1));
    }
}

fn sub(counter: &AtomicU64, amount: u64) {
    let _ = counter.fetch_update(Ordering::AcqRel, Ordering::Acquire, |value| {
        Some(value.saturating_sub(amount))
    });
}
