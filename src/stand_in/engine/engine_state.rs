//! The state of the stand-in engine, shared by its routes and answer jobs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::load_history::LoadHistory;
use super::prefix_cache::PrefixCache;
use super::slots::Slots;
use super::EngineCounts;
use super::EngineFaults;
use super::EngineOptions;
use crate::catalog::TicketNumber;
use crate::clock::Clock;
use crate::clock::SystemClock;
use crate::endpoint::EndpointOrder;
use crate::endpoint::LoadReport;
use crate::endpoint::OrderOutcome;
use crate::request::CompletionCall;
use crate::request::RequestId;
use crate::stand_in::silence::Silence;

/// The identifier of one attempt at a request, as used in cancellations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId {
    /// The request.
    pub(super) request_id: RequestId,
    /// The number of the attempt.
    pub(super) attempt: u64,
}

/// An answer in progress.
#[derive(Debug)]
struct Job {
    cancelled: CancellationToken,
    tokens: u64,
}

/// The state of the stand-in engine, shared by its routes and answer jobs.
#[derive(Debug)]
pub(super) struct EngineState {
    /// The options.
    pub(super) options: EngineOptions,
    /// The slots of the batch.
    pub(super) slots: Arc<Slots>,
    /// The simulated faults.
    pub(super) faults: Mutex<EngineFaults>,
    /// The counts since the start.
    pub(super) counts: Mutex<EngineCounts>,
    /// The silence of the whole engine.
    pub(super) silence: Silence,
    clock: SystemClock,
    cache: Mutex<PrefixCache>,
    history: Mutex<LoadHistory>,
    jobs: Mutex<HashMap<AttemptId, Job>>,
    highest_fencing: Mutex<TicketNumber>,
}

impl EngineState {
    /// Creates the state of an idle engine.
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            options,
            slots: Slots::new(options.concurrency),
            faults: Mutex::default(),
            counts: Mutex::default(),
            silence: Silence::default(),
            clock: SystemClock::new(),
            cache: Mutex::new(PrefixCache::new(options.cache_tokens)),
            history: Mutex::default(),
            jobs: Mutex::default(),
            highest_fencing: Mutex::default(),
        }
    }

    /// Returns the time to generate one token at the current batch size.
    pub(super) fn time_per_token(&self) -> Duration {
        let others = self.slots.in_use().running.saturating_sub(1);
        let slowdown = self.options.slowdown_per_request * f64::from(others);
        self.options.time_per_token.mul_f64(1.0 + slowdown)
    }

    /// Puts the prompt of `call` into the prefix cache and returns the number of tokens that were
    /// cached before.
    pub(super) fn read_prompt(&self, call: &CompletionCall) -> u64 {
        let mut cache = self.cache.lock();
        let cached_tokens = cache.read(&call.prefix_hashes, call.prompt_tokens);
        drop(cache);
        let mut counts = self.counts.lock();
        counts.cached_tokens += cached_tokens;
        counts.prefilled_tokens += call.prompt_tokens - cached_tokens;
        cached_tokens
    }

    /// Records the start of a job that needs memory for `tokens`; returns its cancellation token.
    pub(super) fn begin_job(&self, id: AttemptId, tokens: u64) -> CancellationToken {
        let cancelled = CancellationToken::new();
        let job = Job {
            cancelled: cancelled.clone(),
            tokens,
        };
        self.jobs.lock().insert(id, job);
        cancelled
    }

    /// Records the end of a job.
    pub(super) fn end_job(&self, id: AttemptId) {
        self.jobs.lock().remove(&id);
    }

    /// Cancels one attempt at a request, or all of them if `attempt` is `None`.
    pub(super) fn cancel(&self, request_id: RequestId, attempt: Option<u64>) {
        for (id, job) in self.jobs.lock().iter() {
            let is_attempt = attempt.is_none_or(|attempt| attempt == id.attempt);
            if id.request_id == request_id && is_attempt {
                job.cancelled.cancel();
            }
        }
    }

    /// Records the current load for later reports.
    pub(super) fn record_load(&self) {
        let load = self.slots.in_use();
        self.history.lock().record(load, self.clock.now());
    }

    /// Returns the load report with the configured age and the cache events after `cache_sequence`.
    pub(super) fn report(&self, cache_sequence: u64) -> LoadReport {
        let faults = *self.faults.lock();
        let lag = faults.load_report_lag_ms.map(Duration::from_millis);
        let lag = lag.unwrap_or(self.options.load_report_lag);
        let load = self.history.lock().load_before(lag, self.clock.now());
        let cache = self.cache.lock();
        let mut cache_events = cache.events_after(cache_sequence);
        if let Some(interval) = faults.cache_event_gap_every {
            cache_events.retain(|event| event.sequence % interval.max(1) != 0);
        }
        let is_understated = faults.is_load_understated;
        LoadReport {
            running: if is_understated { 0 } else { load.running },
            waiting: if is_understated { 0 } else { load.waiting },
            cache_used_permille: self.used_permille(),
            age_ms: u64::try_from(lag.as_millis()).unwrap_or(u64::MAX),
            cache_sequence: cache.sequence(),
            cache_events,
        }
    }

    /// Returns the fraction of memory that jobs use, in thousandths; cached prefixes that can be
    /// evicted are not included.
    fn used_permille(&self) -> u32 {
        let jobs = self.jobs.lock();
        let used_tokens: u64 = jobs.values().map(|job| job.tokens).sum();
        let permille = used_tokens.saturating_mul(1_000) / self.options.cache_tokens.max(1);
        u32::try_from(permille).unwrap_or(u32::MAX)
    }

    /// Accepts an order, or refuses it if its fencing token is lower than the highest one seen.
    pub(super) fn order(&self, order: &EndpointOrder) -> OrderOutcome {
        let mut highest = self.highest_fencing.lock();
        let is_checked = self.options.checks_fencing && !self.faults.lock().is_fencing_ignored;
        if is_checked && order.fencing < *highest {
            return OrderOutcome::Fenced { highest: *highest };
        }
        *highest = order.fencing.max(*highest);
        self.counts.lock().orders += 1;
        OrderOutcome::Accepted
    }
}
