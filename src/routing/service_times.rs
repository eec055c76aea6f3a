//! How fast an endpoint works, as one VM has seen it.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

const EWMA_SHIFT: u32 = 3;
const PROMPT_TOKEN_FIRST: Duration = Duration::from_micros(100);
const SERVICE_TIME_FIRST: Duration = Duration::from_secs(1);

/// How fast an endpoint works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    /// The time for one prompt token.
    pub per_prompt_token: Duration,
    /// The time from sending a request to the end of its answer.
    pub per_request: Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            per_prompt_token: PROMPT_TOKEN_FIRST,
            per_request: SERVICE_TIME_FIRST,
        }
    }
}

impl ServiceTimes {
    /// Returns the mean of several paces, or the default one if there is none.
    pub fn mean(all: impl Iterator<Item = Self>) -> Self {
        let mut count = 0;
        let mut sum = Self {
            per_prompt_token: Duration::ZERO,
            per_request: Duration::ZERO,
        };
        for sample in all {
            count += 1;
            sum.per_prompt_token += sample.per_prompt_token;
            sum.per_request += sample.per_request;
        }
        if count == 0 {
            return Self::default();
        }
        Self {
            per_prompt_token: sum.per_prompt_token / count,
            per_request: sum.per_request / count,
        }
    }
}

/// Moving averages of what a VM has seen of an endpoint.
///
/// The time for a token is the ratio of two averages: an average of ratios would take the fixed
/// part of short prompts for a high price of each token.
#[derive(Debug, Default)]
pub(super) struct ObservedServiceTimes {
    first_event_ns: AtomicU64,
    work_tokens_milli: AtomicU64,
    service_us: AtomicU64,
}

impl ObservedServiceTimes {
    /// Notes the time to a first event after `work_tokens` of prompts.
    pub(super) fn on_first_event(&self, elapsed: Duration, work_tokens: u64) {
        average(&self.first_event_ns, elapsed.as_nanos() as u64);
        average(&self.work_tokens_milli, work_tokens.saturating_mul(1_000));
    }

    /// Notes the time to the end of an answer.
    pub(super) fn on_done(&self, elapsed: Duration) {
        average(&self.service_us, elapsed.as_micros() as u64);
    }

    /// Returns the service times, or `None` before the first whole answer.
    pub(super) fn get(&self) -> Option<ServiceTimes> {
        let tokens_milli = self.work_tokens_milli.load(Ordering::Relaxed);
        let service_us = self.service_us.load(Ordering::Relaxed);
        if tokens_milli == 0 || service_us == 0 {
            return None;
        }
        let first_event_ns = self.first_event_ns.load(Ordering::Relaxed);
        Some(ServiceTimes {
            per_prompt_token: Duration::from_nanos(
                first_event_ns.saturating_mul(1_000) / tokens_milli,
            ),
            per_request: Duration::from_micros(service_us),
        })
    }
}

fn average(mean: &AtomicU64, sample: u64) {
    let _ = mean.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |value| {
        if value == 0 {
            return Some(sample);
        }
        Some(value - (value >> EWMA_SHIFT) + (sample >> EWMA_SHIFT))
    });
}
