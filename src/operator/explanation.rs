//! Why one request went the way it went.

use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::clock::WallTime;
use crate::errors::ErrorKind;
use crate::errors::RunState;
use crate::request::RequestId;

/// The steps that are kept of one request; of more, the last is replaced.
pub const EXPLANATION_MAX_STEPS: usize = 32;
/// The candidates that are kept of one choice.
pub const EXPLANATION_MAX_CANDIDATES: usize = 32;

/// What one VM did with one request; it holds no key and no prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Explanation {
    /// The request.
    pub request_id: RequestId,
    /// When it came.
    pub received_at: WallTime,
    /// What happened, in order.
    pub steps: Vec<ExplanationStep>,
}

/// One step on the way of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplanationStep {
    /// The time since the request came, in microseconds.
    pub after_us: u64,
    /// What happened.
    pub event: StepEvent,
}

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// The key and the route were resolved.
    Resolved {
        /// The client account; `None` on an open route without a key.
        client_account: Option<Name>,
        /// The route.
        route: Name,
    },
    /// Another VM handed the request over.
    ReceivedForward {
        /// That VM.
        from: Name,
    },
    /// Tokens were reserved.
    Reserved {
        /// The tokens.
        tokens: u64,
    },
    /// The request waits for its turn.
    Queued,
    /// Candidates were weighed.
    Weighed {
        /// The candidates.
        candidates: Vec<Candidate>,
    },
    /// The request was handed to another VM.
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
    /// An attempt failed, and another is made.
    Retried {
        /// Why the attempt failed.
        kind: ErrorKind,
    },
    /// The first part of the answer came.
    FirstToken,
    /// The outcome of an earlier submission was given.
    Replayed,
    /// The whole answer was sent.
    Answered {
        /// The tokens that were charged.
        charged_tokens: u64,
    },
    /// The caller hung up.
    Cancelled,
    /// The request was refused or has failed.
    Failed {
        /// The kind.
        kind: ErrorKind,
        /// Whether it ran.
        run: RunState,
    },
}

/// A VM, a region or an endpoint that could have served a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// What became of it.
    pub outcome: CandidateOutcome,
}

/// What became of a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CandidateOutcome {
    /// It was chosen.
    Chosen,
    /// Its region is not allowed for the client account.
    RegionNotAllowed,
    /// It does not serve the route.
    RouteNotServed,
    /// Its role does not fit.
    WrongRole,
    /// It takes no new work.
    Leaving,
    /// It does not answer.
    Unreachable,
    /// It has no room.
    Full,
    /// The request has been there.
    Visited,
    /// An attempt there has failed.
    Failed,
    /// It was not among the sampled ones.
    NotSampled,
    /// Another one is expected to answer sooner.
    Slower,
}

impl CandidateOutcome {
    /// Returns a text for a person.
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
    /// Starts the explanation of a request that came at `received_at`.
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

    /// Returns the explanation.
    pub fn build(self) -> Explanation {
        self.explanation
    }
}
