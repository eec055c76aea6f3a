//! How one request went.

use crate::catalog::Name;
use crate::clock::WallTime;
use crate::errors::ErrorKind;
use crate::telemetry::AnswerTimes;

/// How one request went, as the VM that the caller asked has seen it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOutcome {
    /// When it ended.
    pub ended_at: WallTime,
    /// The client account; `None` without a valid key.
    pub client_account: Option<Name>,
    /// The route; `None` if no route was found.
    pub route: Option<Name>,
    /// How it ended.
    pub end: RequestEnd,
    /// Whether the account was inside its rate when the request came.
    pub rate_standing: RateStanding,
    /// Where it was served.
    pub served_in: ServedIn,
    /// The tokens that were charged.
    pub tokens: u64,
    /// When the parts of the answer came.
    pub times: AnswerTimes,
    /// What became of a non-idempotent call.
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
    /// The caller hung up after the request was accepted.
    Cancelled,
}

/// Whether an account was inside its rate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RateStanding {
    /// The account was inside its rate.
    Inside,
    /// The account was over its rate.
    Over,
    /// The rate was not looked at.
    #[default]
    Unknown,
}

/// Where a request was served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServedIn {
    /// In the region of the VM that the caller asked.
    #[default]
    LocalRegion,
    /// In another region.
    OtherRegion,
    /// Nowhere.
    Nowhere,
}

/// What became of a non-idempotent call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingOutcome {
    /// It ran.
    Run,
    /// It had run before, and the first outcome was given.
    Repeated,
    /// Whether it ran is not known.
    Unknown,
}
