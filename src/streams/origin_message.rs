//! What VMs tell and ask each other about the beginnings of streams.

use super::StreamKey;
use crate::deployment::SoftwareVersion;

/// The software version that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: SoftwareVersion,
}

/// What a VM tells another one about the beginnings of streams, and asks it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginMessage {
    /// Streams whose beginning the sender knows.
    pub origins: Vec<StreamOrigin>,
    /// Streams whose beginning the sender asks for.
    pub questions: Vec<StreamKey>,
    /// Streams that the sender was asked for and doesn't know.
    pub unknown: Vec<StreamKey>,
}

impl OriginMessage {
    /// Returns the number of streams.
    pub const fn len(&self) -> usize {
        self.origins.len() + self.questions.len() + self.unknown.len()
    }

    /// Returns whether it names no stream.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
