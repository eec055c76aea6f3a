//! Whether this VM reaches the endpoints of its region at all.

use std::collections::BTreeSet;
use std::time::Duration;

use super::EndpointKey;
use crate::clock::Monotonic;

/// The number of endpoints that must fail, without a sign of life of any other, before they are probed.
const FAILED_MIN: usize = 2;

/// The silence of all endpoints, while requests wait for them, after which they are probed. A sound
/// endpoint may be silent for a second or so.
const SILENCE_MAX: Duration = Duration::from_millis(1_200);

/// The time between two probes.
const PROBE_PERIOD: Duration = Duration::from_millis(500);

/// What a probe of endpoints has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// One of them answered.
    Answered,
    /// A connection could be made, but nothing was answered; a sound endpoint may be silent for a time.
    Silent,
    /// No connection could be made, or it was reset.
    Unreachable,
}

/// Whether this VM reaches the endpoints of its region at all.
///
/// Endpoints fail one by one; only if none gives a sign of life, and a probe shows none either, the VM
/// counts as cut off from them, until a request or a probe is answered.
#[derive(Debug, Default)]
pub struct EndpointReach {
    failed: BTreeSet<EndpointKey>,
    waiting_since: Option<Monotonic>,
    probed_at: Option<Monotonic>,
    cut_off: Option<ProbeOutcome>,
}

impl EndpointReach {
    /// Returns whether the last probe showed that the VM reaches no endpoint.
    pub const fn is_cut_off(&self) -> bool {
        self.cut_off.is_some()
    }

    /// Returns whether not even a connection to an endpoint could be made.
    pub fn is_unreachable(&self) -> bool {
        self.cut_off == Some(ProbeOutcome::Unreachable)
    }

    /// Records a request that was sent to an endpoint.
    pub fn on_sent(&mut self, now: Monotonic) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records a failed connection, or one that broke before an answer.
    pub fn on_failed(&mut self, endpoint: EndpointKey) {
        self.failed.insert(endpoint);
    }

    /// Records that an endpoint sent something.
    pub fn on_sign_of_life(&mut self) {
        self.failed.clear();
        self.waiting_since = None;
        self.cut_off = None;
    }

    /// Returns whether endpoints are to be probed now, of which there are `endpoint_count`.
    pub fn is_probe_due(&self, now: Monotonic, endpoint_count: usize) -> bool {
        let all_failed = self.failed.len() >= FAILED_MIN.min(endpoint_count);
        let is_silent = self
            .waiting_since
            .is_some_and(|since| now.since(since) > SILENCE_MAX);
        let is_suspected = (endpoint_count > 0 && all_failed) || is_silent || self.is_cut_off();
        let was_probed = self
            .probed_at
            .is_some_and(|probed_at| now.since(probed_at) < PROBE_PERIOD);
        is_suspected && !was_probed
    }

    /// Records that a probe begins.
    pub fn on_probe(&mut self, now: Monotonic) {
        self.probed_at = Some(now);
    }

    /// Records the outcome of a probe; returns whether the VM counts as cut off from now on.
    pub fn on_probed(&mut self, outcome: ProbeOutcome) -> bool {
        if outcome == ProbeOutcome::Answered {
            self.on_sign_of_life();
            return false;
        }
        self.cut_off.replace(outcome).is_none()
    }
}
