//! Which parts of requests explain a series of crashes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CrashReport;
use super::EventTime;
use super::InstanceHash;
use super::PartHash;

/// The number of endpoints, each of which began after the one before had crashed, that makes a part
/// the cause.
const SEQUENTIAL_CRASHES: usize = 3;

/// The number of crashed endpoints that makes a prompt part the cause if not all crashed at once.
const CRASHED_ENDPOINTS: usize = 5;

/// The same for a fingerprint, which fewer requests have in common.
const FINGERPRINT_CRASHED_ENDPOINTS: usize = 3;

/// A crash with the parts that may be its cause: those without an answer since.
#[derive(Clone, Debug)]
pub(super) struct Evidence<'a> {
    pub(super) crash: &'a CrashReport,
    pub(super) suspects: BTreeSet<PartHash>,
}

/// When endpoints crashed and had begun to answer; the first report of each counts.
type CrashSpans = BTreeMap<InstanceHash, (EventTime, EventTime)>;

/// The crashes of requests with one part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Record {
    /// The crashes of which each began after the one before.
    sequential: usize,
    /// The endpoints that crashed.
    endpoints: usize,
}

impl Record {
    fn new(spans: &CrashSpans) -> Self {
        Self {
            endpoints: spans.len(),
            sequential: sequential_count(spans.values().copied()),
        }
    }

    const fn shows_cause(self, part: PartHash) -> bool {
        let endpoints_min = match part.is_fingerprint() {
            true => FINGERPRINT_CRASHED_ENDPOINTS,
            false => CRASHED_ENDPOINTS,
        };
        self.sequential >= SEQUENTIAL_CRASHES
            || (self.sequential > 1 && self.endpoints >= endpoints_min)
    }
}

/// Returns the sets of parts that cause crashes; a request with all parts of a set crashes its
/// endpoint.
///
/// The other requests that an endpoint was answering are reported as well when it crashes. So a part
/// is the cause only after several crashes one after the other, or many that did not happen at once,
/// as they do in an outage; and what the clearest cause explains does not count against other parts.
/// Parts that only occurred together cannot be told apart and form a set.
pub(super) fn find_culprits(mut evidence: Vec<Evidence<'_>>) -> Vec<BTreeSet<PartHash>> {
    let mut found = Vec::new();
    while let Some(cause) = clearest_cause(&evidence) {
        evidence.retain(|crash| !cause.endpoints.contains(&crash.crash.endpoint));
        found.push(cause.parts);
    }
    found
}

/// Parts that explain crashes.
struct Cause {
    parts: BTreeSet<PartHash>,
    endpoints: BTreeSet<InstanceHash>,
}

/// Returns the parts that all requests with a part have in common, as far as they are suspects.
fn parts_with(part: PartHash, evidence: &[Evidence<'_>]) -> BTreeSet<PartHash> {
    let crashes = evidence
        .iter()
        .filter(|crash| crash.suspects.contains(&part));
    let common = crashes
        .map(|crash| crash.suspects.clone())
        .reduce(|common, suspects| &common & &suspects);
    common.unwrap_or_default()
}

/// Returns the cause with the most crashes; of several, the one with most parts, as a part that also
/// occurred alone is less likely to be the one that crashes endpoints.
fn clearest_cause(evidence: &[Evidence<'_>]) -> Option<Cause> {
    let mut by_part: BTreeMap<PartHash, CrashSpans> = BTreeMap::new();
    for Evidence { crash, suspects } in evidence {
        let span = (crash.crashed_at, crash.began_at);
        for part in suspects {
            let spans = by_part.entry(*part).or_default();
            let first = spans.entry(crash.endpoint).or_insert(span);
            *first = span.min(*first);
        }
    }
    let causes: Vec<(Record, PartHash, CrashSpans)> = by_part
        .into_iter()
        .map(|(part, spans)| (Record::new(&spans), part, spans))
        .filter(|(record, part, _)| record.shows_cause(*part))
        .collect();
    let clearest = causes.iter().map(|(record, _, _)| *record).max()?;
    causes
        .into_iter()
        .filter(|(record, _, _)| *record == clearest)
        .map(|(_, part, spans)| Cause {
            parts: parts_with(part, evidence),
            endpoints: spans.into_keys().collect(),
        })
        .max_by_key(|cause| cause.parts.len())
}

/// Returns the largest number of spans (end, start) that do not overlap: taking the one that ends
/// first is optimal for interval scheduling.
fn sequential_count(spans: impl Iterator<Item = (EventTime, EventTime)>) -> usize {
    let mut spans: Vec<(EventTime, EventTime)> = spans.collect();
    spans.sort_unstable();
    let mut last_end = None;
    let mut count = 0;
    for (end, start) in spans {
        if last_end.is_none_or(|last_end| start > last_end) {
            last_end = Some(end);
            count += 1;
        }
    }
    count
}
