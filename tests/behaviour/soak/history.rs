//! The recorded history of a run.

use std::time::Duration;
use std::time::Instant;

/// A kind of request; the configuration has a route for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// May be retried.
    Read,
    /// Must not be retried.
    Book,
    /// A stream that may be resumed.
    Stream,
    /// A stream that must not be retried.
    TipStream,
    /// May be retried, and runs only in the western region.
    Homed,
}

impl RequestKind {
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

    pub(super) const fn service(self) -> &'static str {
        match self.is_stream() {
            true => "engine",
            false => "plain",
        }
    }

    pub(super) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::TipStream)
    }

    /// Returns the largest number of runs that the route allows.
    pub(super) const fn runs_max(self) -> u32 {
        match self {
            Self::Read | Self::Stream | Self::Homed => 2,
            Self::Book | Self::TipStream => 1,
        }
    }
}

/// The prompt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Prompt {
    /// Its parts are not declared.
    Undeclared,
    /// It crashes no endpoint, but may share parts with prompts that do.
    Sound,
    /// It crashes each endpoint that begins to answer.
    Crashing,
}

/// What a client received in response to its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Received {
    /// An answer up to its end.
    Complete { status: u16, body: String },
    /// The head of an answer and a part of its body.
    Truncated { status: u16, body: String },
    /// No answer at all.
    Nothing,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub(super) struct Exchange {
    pub(super) id: String,
    pub(super) kind: RequestKind,
    pub(super) prompt: Prompt,
    pub(super) key: String,
    pub(super) vm: usize,
    /// The timeout that the client set.
    pub(super) timeout: Duration,
    /// How often the VM's process had started when the request was sent and when it ended.
    pub(super) starts: (u32, u32),
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) received: Received,
    /// When the client sent it again under its identifier, as an exchange of its own.
    pub(super) sent_again_at: Option<Instant>,
}

/// The period of a fault.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

impl Span {
    /// Returns whether a request overlaps the span, extended by the time that its effects may last.
    pub(super) fn overlaps(&self, exchange: &Exchange, effects_max: Duration) -> bool {
        self.touches(exchange.sent_at, exchange.ended_at, effects_max)
    }

    /// Returns whether a time overlaps the span, extended by the time that its effects may last.
    pub(super) fn touches(&self, from: Instant, until: Instant, effects_max: Duration) -> bool {
        self.from <= until && from <= self.until + effects_max
    }

    /// Returns whether the span overlaps the time before an instant.
    pub(super) fn overlaps_before(&self, instant: Instant, time: Duration) -> bool {
        self.from <= instant && instant <= self.until + time
    }
}

/// The time at which a key was revoked in the store.
#[derive(Clone, Debug)]
pub(super) struct Revocation {
    pub(super) key: String,
    pub(super) at: Instant,
}

/// The time in which a process of an engine is cold.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdTime {
    pub(super) endpoint: usize,
    /// From its start to the end of its cold start, or of the process.
    pub(super) span: Span,
    /// When the store listed its start; `None` if it did not.
    pub(super) listed_at: Option<Instant>,
}

impl ColdTime {
    pub(super) fn contains(&self, at: Instant) -> bool {
        self.span.from <= at && at <= self.span.until
    }
}

/// The recorded history of a run.
#[derive(Debug, Default)]
pub(super) struct History {
    pub(super) exchanges: Vec<Exchange>,
    pub(super) revocations: Vec<Revocation>,
    /// Pauses by SIGSTOP and kills, with the index of the VM.
    pub(super) vm_faults: Vec<(usize, Span)>,
    /// Orderly stops up to the start of the next process, with the index of the VM.
    pub(super) vm_stops: Vec<(usize, Span)>,
    /// All faults that may interrupt an answer on its way from an endpoint, with its index.
    pub(super) endpoint_faults: Vec<(usize, Span)>,
    /// Links to endpoints that were disturbed, with the index of the endpoint.
    pub(super) link_faults: Vec<(usize, Span)>,
    /// The cold times of engines that started again under their identifier.
    pub(super) cold_times: Vec<ColdTime>,
    /// All faults after which VMs are not in touch.
    pub(super) disruptions: Vec<Span>,
    /// Descriptions of the injected faults, printed if the run fails.
    pub(super) actions: Vec<String>,
    /// Descriptions of daemons that ended otherwise than they should.
    pub(super) wrong_exits: Vec<String>,
}

impl History {
    /// Returns whether no disruption was in this time before an instant.
    pub(super) fn is_in_touch(&self, at: Instant, time: Duration) -> bool {
        let mut disruptions = self.disruptions.iter();
        !disruptions.any(|span| span.overlaps_before(at, time))
    }
}
