//! Where the events of a call go, and how it ends.

use tokio::sync::mpsc;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::request::AnswerEvent;
use crate::request::Usage;
use crate::routing::EndpointFailure;

/// Where the events of an answer go.
pub(super) type AnswerSink = mpsc::Sender<Result<AnswerEvent, GatewayError>>;

/// What happens when the caller hangs up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DisconnectPolicy {
    /// The call is cancelled.
    Cancel,
    /// The call runs to its end, so that its outcome is known.
    Finish,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallEnd {
    /// The caller got the whole answer.
    Completed(Usage),
    /// The call was refused or failed.
    Failed(GatewayError),
    /// The caller hung up.
    Disconnected,
}

/// Tells what the failure of an attempt says about its endpoint.
pub(super) fn endpoint_failure(error: &GatewayError) -> EndpointFailure {
    match error.kind {
        ErrorKind::EndpointRefused => EndpointFailure::Refused,
        ErrorKind::AnswerSilent => EndpointFailure::Silent,
        ErrorKind::EndpointFailed | ErrorKind::AnswerTruncated => EndpointFailure::Broken,
        _ => EndpointFailure::Unrelated,
    }
}

/// The error of an answer that ended without its end mark.
pub(super) fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "the answer ended without its end mark",
    )
    .with_run(RunState::MayHaveRun)
}
