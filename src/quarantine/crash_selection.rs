//! Which reports of crashes are told to others, and which are kept.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::CrashReport;
use super::InstanceHash;
use super::PartHash;
use crate::clock::Monotonic;

/// The age up to which a crash is recent, in which each VM may be the only one that knows of it.
const RECENT_AGE_MAX: Duration = Duration::from_secs(10);

/// The largest number of crashes in a message that a quarantine rests on.
const EVIDENT_MAX: usize = 6;

/// The largest number of crashes in a message of each other kind.
const OTHERS_MAX: usize = 12;

/// The parts that several endpoints crashed under: what may become a culprit.
#[derive(Debug)]
pub(super) struct RepeatedParts {
    parts: BTreeSet<PartHash>,
}

impl RepeatedParts {
    /// Finds the parts that occur in the crashes of at least two endpoints.
    pub(super) fn new<'a>(crashes: impl IntoIterator<Item = &'a CrashReport>) -> Self {
        let mut first: BTreeMap<PartHash, InstanceHash> = BTreeMap::new();
        let mut parts = BTreeSet::new();
        for crash in crashes {
            for part in &crash.parts {
                if *first.entry(*part).or_insert(crash.endpoint) != crash.endpoint {
                    parts.insert(*part);
                }
            }
        }
        Self { parts }
    }

    /// Returns whether a report holds such a part.
    pub(super) fn are_in(&self, crash: &CrashReport) -> bool {
        crash.parts.iter().any(|part| self.parts.contains(part))
    }
}

/// Draws the reports for a message from those that a quarantine rests on and the others.
///
/// With many requests on an endpoint most reports are of bystanders. A culprit stands out once two
/// reports of it meet, so those go before others, and new ones before old ones.
pub(super) fn draw_for_message<'a>(
    now: Monotonic,
    evident: Vec<&'a CrashReport>,
    others: Vec<&'a CrashReport>,
    rng: &mut impl Rng,
) -> Vec<&'a CrashReport> {
    let repeated = RepeatedParts::new(others.iter().copied());
    let (repeated, single): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|crash| repeated.are_in(crash));
    let (recent, old): (Vec<_>, Vec<_>) = single
        .into_iter()
        .partition(|crash| crash.crashed_at.age(now) < RECENT_AGE_MAX);
    let mut drawn = evident.into_iter().sample(rng, EVIDENT_MAX);
    for kind in [repeated, recent, old] {
        drawn.extend(kind.into_iter().sample(rng, OTHERS_MAX));
    }
    drawn
}
