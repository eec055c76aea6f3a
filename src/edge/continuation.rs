//! Where and at which software version a stream goes on.

use crate::deployment::SoftwareVersion;

/// Where and at which software version a stream goes on; the default begins one at any version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Continuation {
    /// The last event that the client has; `None` for that of the client's request.
    pub(super) after_event: Option<u64>,
    /// The software version that began the stream; `None` if it has not begun.
    pub(super) version: Option<SoftwareVersion>,
}
