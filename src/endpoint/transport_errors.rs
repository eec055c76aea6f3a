//! Converts transport errors into gateway errors.

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;

/// Converts an error of a request that failed before the response head arrived.
///
/// Only a failure to connect or to build the request proves that nothing was sent.
pub(super) fn of_send(error: &reqwest::Error) -> GatewayError {
    if error.is_connect() {
        return GatewayError::new(
            ErrorKind::EndpointFailed,
            "no connection to the endpoint could be opened",
        )
        .with_run(RunState::NotRun);
    }
    if error.is_builder() {
        return GatewayError::new(ErrorKind::Internal, "the request could not be built")
            .with_run(RunState::NotRun);
    }
    GatewayError::new(
        ErrorKind::EndpointFailed,
        "the connection to the endpoint failed before its answer began",
    )
}

/// Returns the error for a connection that ended in the middle of an answer.
pub(super) fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "the answer ended without its end mark",
    )
}

/// Returns the error for a connection that fell silent.
pub(super) fn silent() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerSilent,
        "no event of the answer arrived within the timeout",
    )
}

/// Returns the error for a deadline that passed before the end of the answer.
pub(super) fn deadline() -> GatewayError {
    GatewayError::new(
        ErrorKind::DeadlineExceeded,
        "the deadline passed before the answer was complete",
    )
}

/// Returns the error for an answer that does not follow the protocol.
pub(super) fn malformed(message: impl Into<String>) -> GatewayError {
    GatewayError::new(ErrorKind::EndpointFailed, message)
}
