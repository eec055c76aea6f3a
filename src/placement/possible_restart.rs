//! Whether an endpoint may have started again without the store saying so yet.

use std::time::Duration;

use super::AttemptOutcome;
use crate::clock::Monotonic;

/// The time after which the record of an endpoint that ended has lapsed, or lists its new start:
/// three heartbeats, a read and a round of gossip.
const RECORD_LAPSE_TIME: Duration = Duration::from_millis(5_000);

/// Whether an endpoint may have started again under its identifier since its record was written.
///
/// A refused connection shows that its process has ended. The next one is cold, but until the store
/// lists its start, it passes for the one that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum PossibleRestart {
    /// No connection was refused.
    #[default]
    No,
    /// The last connection was refused at this time.
    Ended(Monotonic),
    /// The first answer after that came at this time.
    Returned(Monotonic),
}

impl PossibleRestart {
    /// Records the outcome of an attempt.
    pub(super) fn on_outcome(&mut self, now: Monotonic, outcome: AttemptOutcome) {
        match (*self, outcome) {
            (_, AttemptOutcome::ConnectionRefused) => *self = Self::Ended(now),
            (Self::Ended(_), outcome) if outcome.is_answer() => *self = Self::Returned(now),
            _ => {}
        }
    }

    /// Returns until when the endpoint may be cold for that reason, if its service is cold for
    /// `cold_start` after a start.
    pub(super) fn cold_until(self, cold_start: Duration) -> Option<Monotonic> {
        match self {
            _ if cold_start.is_zero() => None,
            Self::No => None,
            Self::Ended(at) => Some(at + RECORD_LAPSE_TIME),
            Self::Returned(at) => Some(at + cold_start),
        }
    }
}
