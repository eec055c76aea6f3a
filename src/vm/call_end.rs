//! How a call ends, and the channel that its answer goes to.

use tokio::sync::mpsc;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::request::AnswerEvent;
use crate::request::Usage;
use crate::routing::EndpointFailure;

/// The channel that the events of an answer go to.
pub(super) type AnswerSink = mpsc::Sender<Result<AnswerEvent, GatewayError>>;

/// What happens to a call when its caller disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisconnectPolicy {
    /// It is cancelled.
    Cancel,
    /// It runs to its end, so that its outcome becomes known.
    Finish,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The answer was complete.
    Completed(Usage),
    /// The call was refused or failed.
    Failed(GatewayError),
    /// The caller disconnected.
    Disconnected,
}

/// Returns the kind of failure that an attempt's error counts as for its endpoint.
pub(super) fn endpoint_failure(error: &GatewayError) -> EndpointFailure {
    match error.kind {
        ErrorKind::EndpointRefused => EndpointFailure::Refused,
        ErrorKind::AnswerSilent => EndpointFailure::Silent,
        ErrorKind::EndpointFailed | ErrorKind::AnswerTruncated => EndpointFailure::Broken,
        _ => EndpointFailure::Unrelated,
    }
}

/// Returns the error of an answer that ended without its end mark.
pub(super) fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "the answer ended without its end mark",
    )
    .with_run(RunState::MayHaveRun)
}
