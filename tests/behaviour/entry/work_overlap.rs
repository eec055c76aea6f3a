//! How long endpoints worked on one request at the same time.

use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::Work;

/// How long two endpoints may work on one request.
pub(crate) const OVERLAP_MAX: Duration = Duration::from_millis(400);

/// Returns the longest time for which two of these works on one request went on together.
pub(crate) fn longest_overlap(works: &[Work]) -> Duration {
    let now = Instant::now();
    let end = |work: &Work| work.until.unwrap_or(now);
    let overlaps = works.iter().enumerate().flat_map(|(index, work)| {
        let others = works[index + 1..].iter();
        let others = others.filter(move |other| other.request_id == work.request_id);
        others.map(move |other| {
            let from = work.from.max(other.from);
            end(work).min(end(other)).saturating_duration_since(from)
        })
    });
    overlaps.max().unwrap_or_default()
}
