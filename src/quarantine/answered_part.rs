//! A prompt part that an endpoint answered.

use super::EventTime;
use super::PartHash;

/// A prompt part that was in a request with a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartHash,
    /// When the latest such answer was complete, by the clock of the VM that holds this.
    pub answered_at: EventTime,
}
