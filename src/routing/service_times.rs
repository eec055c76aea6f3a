//! Service times of an endpoint, as measured by one VM.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

const EWMA_SHIFT: u32 = 3;
const PER_PROMPT_TOKEN_DEFAULT: Duration = Duration::from_micros(100);
const PER_REQUEST_DEFAULT: Duration = Duration::from_secs(1);

/// The service times of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    /// The prefill time per prompt token.
    pub per_prompt_token: Duration,
    /// The time from sending a request to the end of its answer.
    pub per_request: Duration,
}

impl Default for ServiceTimes {
    fn default() -> Self {
        Self {
            per_prompt_token: PER_PROMPT_TOKEN_DEFAULT,
            per_request: PER_REQUEST_DEFAULT,
        }
    }
}

impl ServiceTimes {
    /// Returns the mean of `all`, or the default if `all` is empty.
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

/// Exponentially weighted moving averages of one VM's measurements at an endpoint.
///
/// The time per token is the ratio of two averages: an average of ratios would attribute the fixed
/// overhead of short prompts to their tokens.
#[derive(Debug, Default)]
pub(super) struct ObservedServiceTimes {
    first_event_ns: AtomicU64,
    work_tokens_milli: AtomicU64,
    service_us: AtomicU64,
}

impl ObservedServiceTimes {
    /// Records the time to a first event that came after the prefill of `work_tokens`.
    pub(super) fn on_first_event(&self, elapsed: Duration, work_tokens: u64) {
        update_average(&self.first_event_ns, elapsed.as_nanos() as u64);
        update_average(&self.work_tokens_milli, work_tokens.saturating_mul(1_000));
    }

    /// Records the time from sending a request to the end of its answer.
    pub(super) fn on_done(&self, elapsed: Duration) {
        update_average(&self.service_us, elapsed.as_micros() as u64);
    }

    /// Returns the current averages, or `None` before the first complete answer.
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

fn update_average(average: &AtomicU64, sample: u64) {
    let _ = average.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |value| {
        if value == 0 {
            return Some(sample);
        }
        Some(value - (value >> EWMA_SHIFT) + (sample >> EWMA_SHIFT))
    });
}
