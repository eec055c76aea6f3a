//! The state shared by all requests of callers.

use std::sync::Arc;

use super::caller_connections::CallerConnections;
use super::CallerLimits;
use super::Gateway;
use crate::clock::Clock;
use crate::endpoint::AnswerBudget;

/// The state shared by all requests of callers.
pub(super) struct CallerState {
    /// Runs the calls of callers.
    pub(super) gateway: Arc<dyn Gateway>,
    /// The clock that gives the arrival time of requests.
    pub(super) clock: Arc<dyn Clock>,
    /// The limits.
    pub(super) limits: CallerLimits,
    /// The memory for answers that are collected before they are sent.
    pub(super) whole_answers: AnswerBudget,
    /// The open connections.
    pub(super) connections: Arc<CallerConnections>,
}
