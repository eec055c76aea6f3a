//! What became of a non-idempotent call that another VM handed over.

use super::BookingOutcome;
use crate::catalog::Name;
use crate::clock::WallTime;

/// What became of a non-idempotent call that another VM handed over; that VM records the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingRecord {
    /// When it ended.
    pub ended_at: WallTime,
    /// The client account; `None` without a key.
    pub client_account: Option<Name>,
    /// What became of it.
    pub outcome: BookingOutcome,
}
