//! Which statuses of failed endpoints reach clients.

use http::StatusCode;

use crate::deployment::RetrySafety;

/// Where an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerSource {
    /// The endpoint itself.
    Endpoint,
    /// Another VM.
    Vm {
        /// The status that the endpoint gave; `None` if the VM does not name it.
        endpoint_status: Option<StatusCode>,
    },
}

/// Returns whether the client may get this status with the endpoint's signature.
///
/// Clients take some statuses to mean that the request did not run; such a status must not follow a run
/// that must not be repeated. VMs of earlier builds replace these statuses by 502 and keep the signature,
/// so a 502 of another VM is the endpoint's own only if the VM names it.
pub fn may_pass_status(
    retry_safety: RetrySafety,
    status: StatusCode,
    source: AnswerSource,
) -> bool {
    if retry_safety.is_retryable() {
        return true;
    }
    match source {
        AnswerSource::Vm { endpoint_status } if status == StatusCode::BAD_GATEWAY => {
            endpoint_status == Some(status)
        }
        AnswerSource::Vm { .. } | AnswerSource::Endpoint => !implies_not_run(status),
    }
}

/// Returns whether clients take the status to mean that the request did not run.
const fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}
