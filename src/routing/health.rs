//! Failures in a row and the cool-down that follows them.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::EndpointEvent;
use crate::clock::Monotonic;

const FAILURES_TO_TAKE_OUT: u32 = 3;
const COOL_DOWN_FIRST: Duration = Duration::from_secs(1);
const COOL_DOWN_MAX: Duration = Duration::from_secs(30);
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
const UNSET: u64 = 0;

/// Whether an endpoint may get a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// The endpoint gets work.
    Up,
    /// The cool-down is over; one request may probe the endpoint.
    Probing,
    /// The endpoint gets nothing until then.
    CoolingDown {
        /// The end of the cool-down, or of the wait for the probe that runs.
        until: Monotonic,
    },
}

/// A circuit breaker: failures in a row open it, and one probe at a time tries to close it.
#[derive(Debug, Default)]
pub(super) struct Breaker {
    failures: AtomicU32,
    open_until_us: AtomicU64,
    probe_sent_us: AtomicU64,
}

impl Breaker {
    /// Returns whether the endpoint may get a request.
    pub(super) fn health(&self, now: Monotonic) -> Health {
        let until_us = self.open_until_us.load(Ordering::Acquire);
        if until_us == UNSET {
            return Health::Up;
        }
        let until = Monotonic::from_us(until_us);
        if now < until {
            return Health::CoolingDown { until };
        }
        match self.probe_sent_us.load(Ordering::Acquire) {
            UNSET => Health::Probing,
            sent_us => {
                let give_up_at = Monotonic::from_us(sent_us) + PROBE_TIMEOUT;
                if now < give_up_at {
                    Health::CoolingDown { until: give_up_at }
                } else {
                    Health::Probing
                }
            }
        }
    }

    /// Notes a request; returns whether it is the probe of an open breaker.
    pub(super) fn on_sent(&self, now: Monotonic) -> bool {
        if self.health(now) != Health::Probing {
            return false;
        }
        let seen = self.probe_sent_us.load(Ordering::Acquire);
        self.probe_sent_us
            .compare_exchange(
                seen,
                now.as_us().max(1),
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    /// Notes an answer's first event or its end.
    pub(super) fn on_success(&self) -> Option<EndpointEvent> {
        self.failures.store(0, Ordering::Release);
        self.probe_sent_us.store(UNSET, Ordering::Release);
        let was_open = self.open_until_us.swap(UNSET, Ordering::AcqRel) != UNSET;
        was_open.then_some(EndpointEvent::TakenBack)
    }

    /// Notes a failure.
    pub(super) fn on_failure(&self, now: Monotonic, is_probe: bool) -> Option<EndpointEvent> {
        let failures = self
            .failures
            .fetch_add(1, Ordering::AcqRel)
            .saturating_add(1);
        let is_open = self.open_until_us.load(Ordering::Acquire) != UNSET;
        let is_taken_out = is_probe || (!is_open && failures >= FAILURES_TO_TAKE_OUT);
        if !is_taken_out {
            return None;
        }
        let cool_down = cool_down(failures);
        self.open_until_us
            .store((now + cool_down).as_us().max(1), Ordering::Release);
        self.probe_sent_us.store(UNSET, Ordering::Release);
        Some(EndpointEvent::TakenOut {
            consecutive_failures: failures,
            cool_down_ms: cool_down.as_millis() as u64,
        })
    }

    /// Frees the probe whose request ended without telling anything.
    pub(super) fn on_unrelated(&self, is_probe: bool) {
        if is_probe {
            self.probe_sent_us.store(UNSET, Ordering::Release);
        }
    }
}

fn cool_down(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(FAILURES_TO_TAKE_OUT).min(8);
    COOL_DOWN_FIRST
        .saturating_mul(1 << doublings)
        .min(COOL_DOWN_MAX)
}
