//! The error kinds and the table that maps each kind to an HTTP answer.

use std::time::Duration;

use thiserror::Error;

/// Whether a refused or failed request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunState {
    /// Nothing was sent to an endpoint, or the endpoint reported that it did not run the request.
    NotRun,
    /// The request was sent, at least in part, and its outcome is unknown.
    MayHaveRun,
    /// The request ran.
    Ran,
}

impl RunState {
    /// Returns the form used in answers, such as `not_run`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::MayHaveRun => "may_have_run",
            Self::Ran => "ran",
        }
    }
}

/// Whether and how a caller should retry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// The same request would fail again.
    Never,
    /// The same request may succeed later, here or at another VM.
    Later,
    /// The same request may succeed at once at another VM.
    OtherVm,
    /// A duplicate with the same idempotency key returns the outcome.
    SameKey,
}

/// The reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// The request could not be parsed.
    MalformedRequest,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The request came without an API key.
    MissingKey,
    /// The API key is unknown or was revoked.
    InvalidKey,
    /// No route matches the path.
    UnknownRoute,
    /// No route has the model name.
    UnknownModel,
    /// A non-idempotent call came without an idempotency key.
    MissingIdempotencyKey,
    /// The request needs more tokens than the account's burst.
    ExceedsBurst,
    /// The account exceeds its rate limit.
    RateLimited,
    /// The queues are full.
    Overloaded,
    /// The answer cannot be complete before the deadline.
    DeadlineUnreachable,
    /// No endpoint in the allowed regions can take the request.
    NoEndpoint,
    /// The remote VM that was chosen for the request is unreachable.
    PeerUnreachable,
    /// Too few VMs acknowledged the record of a non-idempotent call.
    RecordUnacknowledged,
    /// The VM is shutting down.
    Draining,
    /// The VM has not yet received the configuration.
    NotReady,
    /// The endpoint refused the request and reported that it did not run.
    EndpointRefused,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// The answer ended without its end mark.
    AnswerTruncated,
    /// No event of the answer arrived within the timeout.
    AnswerSilent,
    /// The deadline passed after the request was sent.
    DeadlineExceeded,
    /// The first submission under this idempotency key is still running.
    CallInProgress,
    /// The first submission under this idempotency key has no known outcome.
    OutcomeUnknown,
    /// The idempotency key was used with a different request.
    IdempotencyKeyReused,
    /// An internal error of the gateway.
    Internal,
}

/// The HTTP answer to an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The stable code in answers, logs and metrics.
    pub code: &'static str,
    /// Whether the request ran, unless the error says otherwise.
    pub run: RunState,
    /// Whether and how the caller should retry.
    pub retry: RetryAdvice,
}

impl ErrorKind {
    /// All kinds, in the order of their declaration.
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

    /// Returns the HTTP answer to this kind of error.
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

    /// Returns the kind with this code, or `None` for an unknown code.
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

/// The error of a failed request, as reported to the caller.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{}: {message}", kind.answer().code)]
pub struct GatewayError {
    /// The kind.
    pub kind: ErrorKind,
    /// A message for people; it must not contain keys or prompts.
    pub message: String,
    /// Whether the request ran.
    pub run: RunState,
    /// The time after which the caller should retry, if known.
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

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the run state, where it is known more exactly than from the kind.
    #[must_use]
    pub fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }
}
