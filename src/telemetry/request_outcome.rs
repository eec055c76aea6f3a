//! The outcome of one request.

use crate::catalog::Name;
use crate::clock::WallTime;
use crate::errors::ErrorKind;
use crate::telemetry::AnswerTimes;

/// The outcome of one request, as seen by the VM that received it from the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// When the request ended.
    pub ended_at: WallTime,
    /// The client account; `None` without a valid key.
    pub client_account: Option<Name>,
    /// The route; `None` if no route was found.
    pub route: Option<Name>,
    /// How it ended.
    pub end: RequestEnd,
    /// Whether the account was inside its rate when the request arrived.
    pub rate_standing: RateStanding,
    /// Where the request was served.
    pub served_in: ServedIn,
    /// The tokens that were charged to the account.
    pub tokens: u64,
    /// The times of the chunks of the answer.
    pub times: AnswerTimes,
    /// The outcome of a non-idempotent call; `None` for other calls, for those that did not run and
    /// for those that another VM counts.
    pub booking: Option<BookingOutcome>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller got the whole answer.
    Answered,
    /// The request was refused before it was accepted.
    Refused(ErrorKind),
    /// The request was accepted and not answered in full.
    Failed(ErrorKind),
    /// The caller disconnected after the request was accepted.
    Cancelled,
}

/// Whether an account was inside its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStanding {
    /// The account was inside its rate.
    Inside,
    /// The account was over its rate.
    Over,
    /// The rate was not checked.
    #[default]
    Unknown,
}

/// Where a request was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServedIn {
    /// In the region of the VM that received the request.
    #[default]
    LocalRegion,
    /// In another region.
    OtherRegion,
    /// Nowhere.
    Nowhere,
}

/// The outcome of a non-idempotent call, which the operators' page calls a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingOutcome {
    /// It ran.
    Run,
    /// It was a duplicate of a call that had run, and got the stored answer.
    Repeated,
    /// It is not known whether it ran.
    Unknown,
}
