//! A part of a request that an endpoint answered.

use super::EventTime;
use super::PartHash;

/// A prompt part of a request whose answer had an event, or the fingerprint of one that its endpoint survived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredPart {
    /// The part.
    pub part: PartHash,
    /// When the latest such answer arrived, by the clock of the VM that holds this.
    pub answered_at: EventTime,
}
