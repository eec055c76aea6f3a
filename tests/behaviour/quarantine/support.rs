//! Crashes and answers for tests.

use figramp::clock::Monotonic;
use figramp::quarantine::InstanceHash;
use figramp::quarantine::PartHash;
use figramp::quarantine::RequestQuarantine;

/// The part that crashes endpoints.
pub(super) const CULPRIT: u64 = 1;

/// The time from the head of an answer to a crash.
const BEGUN_MS: u64 = 40;

pub(super) fn at(ms: u64) -> Monotonic {
    Monotonic::from_ms(ms)
}

fn hashes(parts: &[u64]) -> impl Iterator<Item = PartHash> + '_ {
    parts.iter().copied().map(PartHash)
}

/// Records that an endpoint crashed 40 ms after it began to answer a prompt with these parts.
pub(super) fn crash(quarantine: &mut RequestQuarantine, ms: u64, endpoint: u32, parts: &[u64]) {
    let began_at = at(ms - BEGUN_MS);
    quarantine.on_crashed(at(ms), InstanceHash(endpoint), began_at, hashes(parts));
}

pub(super) fn answer(quarantine: &mut RequestQuarantine, ms: u64, parts: &[u64]) {
    quarantine.on_answered(at(ms), None, hashes(parts));
}

pub(super) fn is_quarantined(quarantine: &RequestQuarantine, ms: u64, parts: &[u64]) -> bool {
    quarantine.remaining(at(ms), hashes(parts)).is_some()
}
