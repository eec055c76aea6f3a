//! The gateway's own answers.

use std::time::Duration;

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;

use super::edge_body::whole;
use super::hop;
use super::EdgeBody;

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RefusalKind {
    /// The request cannot be parsed.
    Malformed,
    /// The body is over the limit.
    BodyTooLarge,
    /// The key is missing or unknown.
    InvalidKey,
    /// No route has the path.
    UnknownRoute,
    /// The account is over its rate.
    RateLimited,
    /// The VM does not know the present configuration.
    NotReady,
    /// The VM holds as much as it can.
    Overloaded,
    /// No endpoint can take the request.
    NoEndpoint,
    /// Endpoints refused the request.
    EndpointsFull,
    /// The request failed after it may have run.
    Failed,
    /// The time of the request is over after it may have run.
    TimedOut,
    /// The time of the request is over, and it did not run.
    TooLate,
}

impl RefusalKind {
    /// Returns the status of the answer.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::InvalidKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::RateLimited => StatusCode::TOO_MANY_REQUESTS,
            Self::NotReady
            | Self::Overloaded
            | Self::NoEndpoint
            | Self::EndpointsFull
            | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether the request did not run and will not.
    pub const fn is_not_run(self) -> bool {
        !matches!(self, Self::Failed | Self::TimedOut)
    }

    /// Returns the code of the answer and of the log.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::BodyTooLarge => "body_too_large",
            Self::InvalidKey => "invalid_key",
            Self::UnknownRoute => "unknown_route",
            Self::RateLimited => "rate_limited",
            Self::NotReady => "not_ready",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::EndpointsFull => "endpoints_full",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
            Self::TooLate => "too_late",
        }
    }
}

/// An answer that the gateway gives itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// When the client should come back.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that does not say when to come back.
    pub const fn new(kind: RefusalKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Creates a refusal with a time to come back.
    pub const fn retry_after(kind: RefusalKind, retry_after: Duration) -> Self {
        Self {
            kind,
            retry_after: Some(retry_after),
        }
    }

    /// Builds the answer.
    pub fn response(self) -> Response<EdgeBody> {
        let body = format!("{{\"error\":\"{}\"}}", self.kind.as_str());
        let mut response = Response::new(whole(body));
        *response.status_mut() = self.kind.status();
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if self.kind.is_not_run() {
            hop::mark_not_run(headers);
        }
        let wait = self
            .retry_after
            .map(|wait| format!("{:.3}", wait.as_secs_f64()));
        if let Some(value) = wait.and_then(|wait| HeaderValue::from_str(&wait).ok()) {
            headers.insert(header::RETRY_AFTER, value);
        }
        response
    }
}
