//! The closed list of error kinds and the table from kind to answer.

use std::time::Duration;

use thiserror::Error;

/// Whether a refused or failed request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunState {
    /// Nothing was sent to an endpoint, or the endpoint said that it did not run.
    NotRun,
    /// Something was sent, and the outcome is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RunState {
    /// Returns the form used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// Whether a caller should come back with the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// The same request would fail again.
    Never,
    /// The same request may succeed later, here or at another VM.
    Later,
    /// The same request may succeed at once at another VM.
    OtherVm,
    /// A repeat under the same idempotency key tells the outcome.
    SameKey,
}

/// Every way in which a request can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// The request could not be parsed.
    MalformedRequest,
    /// The body is over the limit.
    BodyTooLarge,
    /// No key came with the request.
    MissingKey,
    /// The key is unknown or was withdrawn.
    InvalidKey,
    /// No route has this path.
    UnknownRoute,
    /// No route has this model name.
    UnknownModel,
    /// A non-idempotent call came without an idempotency key.
    MissingIdempotencyKey,
    /// The request needs more tokens than the account's burst.
    ExceedsBurst,
    /// The account is over its rate.
    RateLimited,
    /// The queues are full.
    Overloaded,
    /// The answer could not be ready before the deadline.
    DeadlineUnreachable,
    /// No endpoint in the allowed regions can take the request.
    NoEndpoint,
    /// The VM that was to serve the request could not be reached.
    PeerUnreachable,
    /// No second VM acknowledged the record of a non-idempotent call.
    RecordUnacknowledged,
    /// The VM is shutting down.
    Draining,
    /// The VM has not yet learned the configuration.
    NotReady,
    /// The endpoint said that it did not run the request.
    EndpointRefused,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// The answer ended without its end mark.
    AnswerTruncated,
    /// No event of the answer came within the limit.
    AnswerSilent,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
    /// The first submission under this idempotency key is still running.
    CallInProgress,
    /// The first submission under this idempotency key has no known outcome.
    OutcomeUnknown,
    /// The idempotency key was used with a different request.
    IdempotencyKeyReused,
    /// A fault of the gateway itself.
    Internal,
}

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The stable code in answers, logs and metrics.
    pub code: &'static str,
    /// Whether the request ran, unless the error says otherwise.
    pub run: RunState,
    /// Whether to come back.
    pub retry: RetryAdvice,
}

impl ErrorKind {
    /// All kinds, in the order of the table.
    pub const ALL: [Self; 25] = [
        Self::MalformedRequest,
        Self::BodyTooLarge,
        Self::MissingKey,
        Self::InvalidKey,
        Self::UnknownRoute,
        Self::UnknownModel,
        Self::MissingIdempotencyKey,
        Self::ExceedsBurst,
        Self::RateLimited,
        Self::Overloaded,
        Self::DeadlineUnreachable,
        Self::NoEndpoint,
        Self::PeerUnreachable,
        Self::RecordUnacknowledged,
        Self::Draining,
        Self::NotReady,
        Self::EndpointRefused,
        Self::EndpointFailed,
        Self::AnswerTruncated,
        Self::AnswerSilent,
        Self::DeadlineExceeded,
        Self::CallInProgress,
        Self::OutcomeUnknown,
        Self::IdempotencyKeyReused,
        Self::Internal,
    ];

    /// Returns the kind's row of the table.
    pub const fn answer(self) -> ErrorAnswer {
        use RetryAdvice::*;
        use RunState::*;
        match self {
            Self::MalformedRequest => row(400, "malformed_request", NotRun, Never),
            Self::BodyTooLarge => row(413, "body_too_large", NotRun, Never),
            Self::MissingKey => row(401, "missing_key", NotRun, Never),
            Self::InvalidKey => row(401, "invalid_key", NotRun, Never),
            Self::UnknownRoute => row(404, "unknown_route", NotRun, Never),
            Self::UnknownModel => row(404, "unknown_model", NotRun, Never),
            Self::MissingIdempotencyKey => row(400, "missing_idempotency_key", NotRun, Never),
            Self::ExceedsBurst => row(400, "exceeds_burst", NotRun, Never),
            Self::RateLimited => row(429, "rate_limited", NotRun, Later),
            Self::Overloaded => row(503, "overloaded", NotRun, Later),
            Self::DeadlineUnreachable => row(503, "deadline_unreachable", NotRun, Later),
            Self::NoEndpoint => row(503, "no_endpoint", NotRun, Later),
            Self::PeerUnreachable => row(503, "peer_unreachable", NotRun, Later),
            Self::RecordUnacknowledged => row(503, "record_unacknowledged", NotRun, Later),
            Self::Draining => row(503, "draining", NotRun, OtherVm),
            Self::NotReady => row(503, "not_ready", NotRun, OtherVm),
            Self::EndpointRefused => row(503, "endpoint_refused", NotRun, Later),
            Self::EndpointFailed => row(502, "endpoint_failed", MayHaveRun, SameKey),
            Self::AnswerTruncated => row(502, "answer_truncated", MayHaveRun, SameKey),
            Self::AnswerSilent => row(504, "answer_silent", MayHaveRun, SameKey),
            Self::DeadlineExceeded => row(504, "deadline_exceeded", MayHaveRun, SameKey),
            Self::CallInProgress => row(409, "call_in_progress", MayHaveRun, SameKey),
            Self::OutcomeUnknown => row(409, "outcome_unknown", MayHaveRun, Never),
            Self::IdempotencyKeyReused => row(422, "idempotency_key_reused", NotRun, Never),
            Self::Internal => row(500, "internal", MayHaveRun, SameKey),
        }
    }

    /// Returns the kind with this code.
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.answer().code == code)
    }
}

const fn row(status: u16, code: &'static str, run: RunState, retry: RetryAdvice) -> ErrorAnswer {
    ErrorAnswer {
        status,
        code,
        run,
        retry,
    }
}

/// A failed request, as it is answered.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{}: {message}", kind.answer().code)]
pub struct GatewayError {
    /// The kind.
    pub kind: ErrorKind,
    /// A text for a person; it holds no key and no prompt.
    pub message: String,
    /// Whether the request ran.
    pub run: RunState,
    /// When to come back, if that is known.
    pub retry_after: Option<Duration>,
}

impl GatewayError {
    /// Creates an error with the run state of its kind.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            run: kind.answer().run,
            retry_after: None,
        }
    }

    /// Sets the time to come back.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the run state, where more is known than the kind tells.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }
}
