//! The outcome of a non-idempotent call that another VM forwarded.

use super::BookingOutcome;
use crate::catalog::Name;
use crate::clock::WallTime;

/// The outcome of a non-idempotent call that another VM forwarded to this one.
///
/// The other VM records the request itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BookingRecord {
    /// When the call ended.
    pub ended_at: WallTime,
    /// The client account; `None` without a key.
    pub client_account: Option<Name>,
    /// The outcome.
    pub outcome: BookingOutcome,
}
