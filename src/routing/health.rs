//! The circuit breaker of an endpoint.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::EndpointEvent;
use crate::clock::Monotonic;

const FAILURES_TO_OPEN: u32 = 3;
const COOL_DOWN_FIRST: Duration = Duration::from_secs(1);
const COOL_DOWN_MAX: Duration = Duration::from_secs(30);
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
const UNSET: u64 = 0;

/// The state of an endpoint's circuit breaker at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    /// Closed: the endpoint gets requests.
    Up,
    /// Half-open: the cool-down is over, and one request may probe the endpoint.
    Probing,
    /// Open: the endpoint gets no requests.
    CoolingDown {
        /// The end of the cool-down, or the timeout of the probe in flight.
        until: Monotonic,
    },
}

/// A circuit breaker: consecutive failures open it, and a successful request closes it.
///
/// After the cool-down it lets one probe through at a time; the cool-down doubles with each
/// further failure, up to 30 s. After silences alone the cool-down is as long as the silence that
/// was seen, so a sound endpoint is out of use no longer than it was silent.
#[derive(Debug, Default)]
pub(super) struct Breaker {
    failures: AtomicU32,
    silences: AtomicU32,
    open_until_us: AtomicU64,
    probe_sent_us: AtomicU64,
}

impl Breaker {
    /// Returns the state at `now`.
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
                let probe_deadline = Monotonic::from_us(sent_us) + PROBE_TIMEOUT;
                if now < probe_deadline {
                    Health::CoolingDown {
                        until: probe_deadline,
                    }
                } else {
                    Health::Probing
                }
            }
        }
    }

    /// Records a sent request; returns whether it is the probe of a half-open breaker.
    pub(super) fn on_sent(&self, now: Monotonic) -> bool {
        if self.health(now) != Health::Probing {
            return false;
        }
        let previous = self.probe_sent_us.load(Ordering::Acquire);
        self.probe_sent_us
            .compare_exchange(
                previous,
                now.as_us().max(1),
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }

    /// Records the first event or the end of an answer, and closes the breaker.
    pub(super) fn on_success(&self) -> Option<EndpointEvent> {
        self.failures.store(0, Ordering::Release);
        self.silences.store(0, Ordering::Release);
        self.probe_sent_us.store(UNSET, Ordering::Release);
        let was_open = self.open_until_us.swap(UNSET, Ordering::AcqRel) != UNSET;
        was_open.then_some(EndpointEvent::TakenBack)
    }

    /// Records a failure; returns an event if it opens the breaker.
    pub(super) fn on_failure(&self, now: Monotonic, is_probe: bool) -> Option<EndpointEvent> {
        let failures = self
            .failures
            .fetch_add(1, Ordering::AcqRel)
            .saturating_add(1);
        let counted = failures.saturating_add(self.silences.load(Ordering::Acquire));
        if !is_probe && (self.is_open() || counted < FAILURES_TO_OPEN) {
            return None;
        }
        Some(self.open(now, failures, cool_down(failures)))
    }

    /// Records that an answer was silent for `silence`; returns an event if it opens the breaker.
    pub(super) fn on_silence(
        &self,
        now: Monotonic,
        silence: Duration,
        is_probe: bool,
    ) -> Option<EndpointEvent> {
        let broken = self.failures.load(Ordering::Acquire);
        if is_probe && broken >= FAILURES_TO_OPEN {
            return self.on_failure(now, is_probe);
        }
        let silences = self.silences.fetch_add(1, Ordering::AcqRel);
        let failures = broken.saturating_add(silences).saturating_add(1);
        if !is_probe && (self.is_open() || failures < FAILURES_TO_OPEN) {
            return None;
        }
        Some(self.open(now, failures, silence.min(COOL_DOWN_MAX)))
    }

    fn is_open(&self) -> bool {
        self.open_until_us.load(Ordering::Acquire) != UNSET
    }

    fn open(
        &self,
        now: Monotonic,
        consecutive_failures: u32,
        cool_down: Duration,
    ) -> EndpointEvent {
        self.open_until_us
            .store((now + cool_down).as_us().max(1), Ordering::Release);
        self.probe_sent_us.store(UNSET, Ordering::Release);
        EndpointEvent::TakenOut {
            consecutive_failures,
            cool_down_ms: cool_down.as_millis() as u64,
        }
    }

    /// Allows another probe if one ended without a result about the endpoint's health.
    pub(super) fn on_inconclusive(&self, is_probe: bool) {
        if is_probe {
            self.probe_sent_us.store(UNSET, Ordering::Release);
        }
    }
}

fn cool_down(failures: u32) -> Duration {
    let doublings = failures.saturating_sub(FAILURES_TO_OPEN).min(8);
    COOL_DOWN_FIRST
        .saturating_mul(1 << doublings)
        .min(COOL_DOWN_MAX)
}
