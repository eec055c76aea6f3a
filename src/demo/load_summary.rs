//! The outcomes of the mixed load.

use std::collections::BTreeMap;
use std::fmt;

use super::CallKind;

/// The outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The answer arrived in full.
    Answered,
    /// The call was refused and reported as not run.
    Refused {
        /// The kind of error in the refusal.
        kind: String,
    },
    /// The answer was incomplete, or it was an error that does not exclude that the call ran.
    Failed {
        /// The kind of error, or the transport error.
        reason: String,
    },
}

/// The outcomes of all calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadSummary {
    counts: BTreeMap<(CallKind, Outcome), u64>,
    /// The call numbers of the bookings that did not run once although answered, or ran although not
    /// answered.
    pub miscounted_bookings: Vec<u64>,
}

impl LoadSummary {
    /// Counts the outcome of a call.
    pub fn add(&mut self, kind: CallKind, outcome: Outcome) {
        *self.counts.entry((kind, outcome)).or_default() += 1;
    }

    /// Returns the number of calls of an outcome.
    pub fn count(&self, is_counted: impl Fn(&Outcome) -> bool) -> u64 {
        self.counts
            .iter()
            .filter(|((_, outcome), _)| is_counted(outcome))
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns whether no call failed and no booking has a wrong run count.
    pub fn is_clean(&self) -> bool {
        let failed = self.count(|outcome| matches!(outcome, Outcome::Failed { .. }));
        failed == 0 && self.miscounted_bookings.is_empty()
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<10} {:<48} {:>8}", "call", "outcome", "count")?;
        for ((kind, outcome), count) in &self.counts {
            let kind = match kind {
                CallKind::Stream => "stream",
                CallKind::Whole => "whole",
                CallKind::Booking => "booking",
            };
            let outcome = match outcome {
                Outcome::Answered => "answered in full".to_owned(),
                Outcome::Refused { kind } => format!("refused as not run: {kind}"),
                Outcome::Failed { reason } => format!("failed: {reason}"),
            };
            writeln!(f, "{kind:<10} {outcome:<48} {count:>8}")?;
        }
        let miscounted = self.miscounted_bookings.len();
        writeln!(f, "bookings that did not run exactly once: {miscounted}")
    }
}
