//! What happened in a run.

use std::time::Duration;
use std::time::Instant;

/// A path that clients ask for; the configuration has a route for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ask {
    /// May be repeated.
    Read,
    /// Must not be repeated.
    Book,
    /// A stream that may be resumed.
    Stream,
    /// A stream that must not be repeated.
    TipStream,
    /// May be repeated, and runs only in the western region.
    Homed,
}

impl Ask {
    pub(super) const ALL: [Self; 5] = [
        Self::Read,
        Self::Book,
        Self::Stream,
        Self::TipStream,
        Self::Homed,
    ];

    pub(super) const fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/x",
            Self::Book => "/book/x",
            Self::Stream => "/stream/x",
            Self::TipStream => "/tip-stream/x",
            Self::Homed => "/homed/x",
        }
    }

    pub(super) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::TipStream)
    }

    /// Returns the runs that the route allows.
    pub(super) const fn runs_max(self) -> u32 {
        match self {
            Self::Read | Self::Stream | Self::Homed => 2,
            Self::Book | Self::TipStream => 1,
        }
    }
}

/// What a client saw of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Seen {
    /// An answer whose end came.
    Answer { status: u16, body: String },
    /// The head of an answer, whose body broke off.
    BrokenOff { status: u16, body: String },
    /// No answer.
    Nothing,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) id: String,
    pub(super) ask: Ask,
    pub(super) key: String,
    pub(super) vm: usize,
    /// How often the VM's process had started when the request was sent, and when it ended.
    pub(super) starts: (u32, u32),
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) seen: Seen,
}

/// A time in which something was disturbed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

impl Span {
    /// Returns whether the span, or the time after it in which its effects end, meets a request.
    pub(super) fn meets(&self, exchange: &Exchange, effects: Duration) -> bool {
        self.from <= exchange.ended_at && exchange.sent_at <= self.until + effects
    }
}

/// When a key was withdrawn in the store.
#[derive(Clone, Debug)]
pub(super) struct Withdrawal {
    pub(super) key: String,
    pub(super) at: Instant,
}

/// What happened in a run.
#[derive(Debug, Default)]
pub(super) struct History {
    pub(super) exchanges: Vec<Exchange>,
    pub(super) withdrawals: Vec<Withdrawal>,
    /// Stops by SIGSTOP and kills, by VM.
    pub(super) vm_faults: Vec<(usize, Span)>,
    /// Everything that may break an answer on its way from an endpoint.
    pub(super) endpoint_faults: Vec<Span>,
    /// What was done, for the report of a failure.
    pub(super) actions: Vec<String>,
}
