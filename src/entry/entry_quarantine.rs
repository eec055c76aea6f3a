//! What this VM and others observe of requests that crash endpoints.

use std::collections::BTreeSet;
use std::time::Duration;

use super::EntryState;
use crate::clock::Monotonic;
use crate::placement::PromptPrefix;
use crate::quarantine::CrashReports;
use crate::quarantine::InstanceHash;
use crate::quarantine::PartHash;
use crate::quarantine::RequestQuarantine;

impl EntryState {
    /// Returns how long requests with these parts stay quarantined; `None` if they are not.
    pub fn quarantine_remaining(
        &self,
        now: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> Option<Duration> {
        self.quarantine.borrow().remaining(now, parts)
    }

    /// Returns whether several endpoints crashed under requests with this fingerprint.
    pub fn has_repeated_crashes(&self, fingerprint: PartHash) -> bool {
        self.quarantine.borrow().has_repeated_crashes(fingerprint)
    }

    /// Records the first event of the answer to a request with this prompt prefix; `instance` is `None`
    /// if another VM passed it on.
    pub fn on_prompt_answered(
        &self,
        now: Monotonic,
        instance: Option<InstanceHash>,
        prefix: &PromptPrefix,
    ) {
        let mut quarantine = self.quarantine.borrow_mut();
        let parts = prefix.shared_parts().map(PartHash::from);
        if quarantine.on_answered(now, instance, parts) {
            log_quarantine(now, &quarantine);
        }
    }

    /// Records that a request with this fingerprint did not crash the endpoint that ran it; `instance` is
    /// `None` if another VM passed the answer on.
    pub fn on_request_survived(
        &self,
        now: Monotonic,
        instance: Option<InstanceHash>,
        fingerprint: PartHash,
    ) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.on_survived(now, instance, fingerprint) {
            log_quarantine(now, &quarantine);
        }
    }

    /// Records that an endpoint broke off its answer to a request with these parts, begun at
    /// `began_at`.
    pub fn on_endpoint_crashed(
        &self,
        now: Monotonic,
        instance: InstanceHash,
        began_at: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.on_crashed(now, instance, began_at, parts) {
            log_quarantine(now, &quarantine);
        }
    }

    /// Adds the crashes that another VM reported.
    pub fn on_crashes_reported(&self, now: Monotonic, reports: CrashReports) {
        let mut quarantine = self.quarantine.borrow_mut();
        if quarantine.merge(now, reports) {
            log_quarantine(now, &quarantine);
        }
    }
}

fn log_quarantine(now: Monotonic, quarantine: &RequestQuarantine) {
    let sets = quarantine.quarantined().iter().map(|set| {
        let parts: Vec<String> = set.iter().map(ToString::to_string).collect();
        parts.join("+")
    });
    let sets: Vec<String> = sets.collect();
    let crashes = quarantine.evident_crashes().map(|crash| {
        let age_ms = crash.crashed_at.age(now).as_millis();
        format!("{:08x}:{age_ms}", crash.endpoint.0)
    });
    let crashes: BTreeSet<String> = crashes.collect();
    let crashes: Vec<String> = crashes.into_iter().collect();
    log::warn!(
        parts = sets.join(",").as_str(), crashes = crashes.join(",").as_str();
        "the quarantined parts of requests changed"
    );
}
