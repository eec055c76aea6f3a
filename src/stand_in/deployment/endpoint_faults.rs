//! How an endpoint misbehaves.

use std::time::Duration;

/// How an endpoint misbehaves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointFaults {
    /// It refuses requests as not run.
    pub is_full: bool,
    /// It runs requests and breaks the connection in place of an answer.
    pub loses_answers: bool,
    /// Its answers carry the identifier of another request.
    pub mislabels_answers: bool,
    /// It breaks streams within the event of this number.
    pub truncated_event: Option<u64>,
    /// The pause before each event and each plain answer.
    pub pause: Duration,
}
