//! The steps and decisions by which one VM handled a request.

use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::clock::WallTime;
use crate::errors::ErrorKind;
use crate::errors::RunState;
use crate::request::RequestId;

/// The steps that are kept of one request; once they are full, a new step replaces the last one.
pub const EXPLANATION_MAX_STEPS: usize = 32;
/// The candidates that are kept of one routing decision.
pub const EXPLANATION_MAX_CANDIDATES: usize = 32;

/// What one VM did with one request; it contains no key and no prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The request.
    pub request_id: RequestId,
    /// When this VM received it.
    pub received_at: WallTime,
    /// What happened, in order.
    pub steps: Vec<ExplanationStep>,
}

/// One step in the handling of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplanationStep {
    /// The time since the request was received, in microseconds.
    pub after_us: u64,
    /// What happened.
    pub event: StepEvent,
}

/// An event in the handling of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// The key and the route were resolved.
    Resolved {
        /// The client account; `None` on an open route without a key.
        client_account: Option<Name>,
        /// The route.
        route: Name,
    },
    /// Another VM forwarded the request to this one.
    ReceivedForward {
        /// That VM.
        from: Name,
    },
    /// Tokens of the account's limit were reserved.
    Reserved {
        /// The number of tokens.
        tokens: u64,
    },
    /// The request was put into a queue.
    Queued,
    /// Candidates were compared by a routing decision.
    Weighed {
        /// The candidates; at most [`EXPLANATION_MAX_CANDIDATES`] are kept.
        candidates: Vec<Candidate>,
    },
    /// The request was forwarded to another VM.
    Forwarded {
        /// The VM.
        vm: Name,
        /// Its region.
        region: Name,
    },
    /// The request was sent to an endpoint.
    Sent {
        /// The endpoint.
        endpoint: Name,
    },
    /// An attempt failed and is retried.
    Retried {
        /// Why the attempt failed.
        kind: ErrorKind,
    },
    /// The first token of the answer arrived.
    FirstToken,
    /// The stored outcome of an earlier request with the same idempotency key was returned.
    Replayed,
    /// The whole answer was sent.
    Answered {
        /// The tokens that were charged.
        charged_tokens: u64,
    },
    /// The caller disconnected.
    Cancelled,
    /// The request was refused or failed.
    Failed {
        /// The error kind.
        kind: ErrorKind,
        /// Whether the endpoint ran it.
        run: RunState,
    },
}

/// A VM, a region or an endpoint that could have served a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Whether it was chosen, and if not, why.
    pub outcome: CandidateOutcome,
}

/// Whether a candidate was chosen, and if not, why.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidateOutcome {
    /// It was chosen.
    Chosen,
    /// Its region is not allowed for the client account.
    RegionNotAllowed,
    /// It does not serve the route.
    RouteNotServed,
    /// It has the wrong role for the request.
    WrongRole,
    /// It is draining and takes no new requests.
    Leaving,
    /// Its circuit breaker is open, or no VM of its region is known to be serving.
    Unreachable,
    /// Its cache memory is full.
    Full,
    /// Its region was already visited, or the request may not be forwarded again.
    Visited,
    /// An earlier attempt there failed.
    Failed,
    /// It was not in the random sample that was compared.
    NotSampled,
    /// Another one is expected to answer sooner.
    Slower,
}

impl CandidateOutcome {
    /// Returns the text used in JSON and in the terminal.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Chosen => "chosen",
            Self::RegionNotAllowed => "region not allowed",
            Self::RouteNotServed => "does not serve the route",
            Self::WrongRole => "role does not fit",
            Self::Leaving => "leaving",
            Self::Unreachable => "unreachable",
            Self::Full => "no room",
            Self::Visited => "already visited",
            Self::Failed => "an attempt there failed",
            Self::NotSampled => "not sampled",
            Self::Slower => "expected to be slower",
        }
    }
}

/// Collects the steps of one request while it runs.
#[derive(Clone, Debug)]
pub struct ExplanationBuilder {
    received_at: Monotonic,
    explanation: Explanation,
}

impl ExplanationBuilder {
    /// Starts the explanation of a request that was received at `received_at`.
    pub fn new(request_id: RequestId, received_at: Monotonic, wall_time: WallTime) -> Self {
        Self {
            received_at,
            explanation: Explanation {
                request_id,
                received_at: wall_time,
                steps: Vec::new(),
            },
        }
    }

    /// Adds a step that happened at `now`.
    pub fn add(&mut self, now: Monotonic, event: StepEvent) {
        let event = match event {
            StepEvent::Weighed { mut candidates } => {
                candidates.truncate(EXPLANATION_MAX_CANDIDATES);
                StepEvent::Weighed { candidates }
            }
            event => event,
        };
        let after = now.since(self.received_at);
        let steps = &mut self.explanation.steps;
        steps.truncate(EXPLANATION_MAX_STEPS - 1);
        steps.push(ExplanationStep {
            after_us: u64::try_from(after.as_micros()).unwrap_or(u64::MAX),
            event,
        });
    }

    /// Returns the finished explanation.
    pub fn build(self) -> Explanation {
        self.explanation
    }
}
