//! What all requests of callers share.

use std::sync::Arc;

use super::caller_connections::CallerConnections;
use super::CallerLimits;
use super::Gateway;
use crate::clock::Clock;

/// What all requests of callers share.
pub(super) struct CallerState {
    /// The decisions of the VM.
    pub(super) gateway: Arc<dyn Gateway>,
    /// The clock that stamps arrivals.
    pub(super) clock: Arc<dyn Clock>,
    /// The limits.
    pub(super) limits: CallerLimits,
    /// The open connections.
    pub(super) connections: Arc<CallerConnections>,
}
