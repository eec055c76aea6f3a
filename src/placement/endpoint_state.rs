//! What a VM knows of one instance of an endpoint.

use std::time::Duration;

use super::load_estimate::LoadEstimate;
use super::trust::Trust;
use super::AttemptOutcome;
use super::ColdGate;
use super::Smoothed;
use crate::clock::Monotonic;
use crate::deployment::EndpointRecord;
use crate::deployment::EndpointStanding;

/// The weight of one answer in the mean latency: about the last five count.
const LATENCY_WEIGHT: f64 = 0.2;

/// The age at which the mean latency has lost half of what it lies above the lowest one.
const LATENCY_HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The latency that is assumed of an endpoint without an answer so far.
const LATENCY_UNKNOWN_MS: f64 = 30.0;

/// What a VM knows of one instance of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub(super) record: EndpointRecord,
    pub(super) is_listed: bool,
    pub(super) is_evacuated: bool,
    pub(super) cold_until: Monotonic,
    pub(super) cold_gate: ColdGate,
    pub(super) load: LoadEstimate,
    pub(super) trust: Trust,
    latency_ms: Smoothed,
    latency_at: Monotonic,
}

impl EndpointState {
    pub(super) fn new(now: Monotonic, record: EndpointRecord) -> Self {
        Self {
            cold_until: now + record.cold_remaining,
            record,
            is_listed: true,
            is_evacuated: false,
            cold_gate: ColdGate::new(now),
            load: LoadEstimate::default(),
            trust: Trust::default(),
            latency_ms: Smoothed::default(),
            latency_at: now,
        }
    }

    /// Returns the record.
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns whether new requests may go to the endpoint.
    pub fn takes_requests(&self) -> bool {
        self.is_listed && !self.is_evacuated && self.record.standing == EndpointStanding::Ready
    }

    /// Returns whether the endpoint is cold.
    pub fn is_cold(&self, now: Monotonic) -> bool {
        now < self.cold_until
    }

    /// Returns the requests of this VM that run there.
    pub const fn own_requests(&self) -> u32 {
        self.load.own_requests()
    }

    /// Returns the expected wait for the first event of a small request, in milliseconds.
    pub fn wait_ms(&self, now: Monotonic) -> f64 {
        let mean_ms = self.latency_ms.mean().unwrap_or(LATENCY_UNKNOWN_MS);
        let age = now.since(self.latency_at).as_secs_f64();
        let half_lives = age / LATENCY_HALF_LIFE.as_secs_f64();
        let above_ms = (mean_ms - LATENCY_UNKNOWN_MS).max(0.0);
        mean_ms.min(LATENCY_UNKNOWN_MS) + above_ms * 0.5_f64.powf(half_lives)
    }

    pub(super) fn on_outcome(&mut self, now: Monotonic, outcome: AttemptOutcome, work_ms: f64) {
        self.trust.note(now, outcome);
        if let AttemptOutcome::Answered { latency } = outcome {
            let wait_ms = (latency.as_secs_f64() * 1_000.0 - work_ms).max(1.0);
            self.latency_ms.add(wait_ms, LATENCY_WEIGHT);
            self.latency_at = now;
        }
    }
}
