//! What an attempt without an answer means for its request and its endpoint.

use super::attempt::AttemptError;
use super::client_request::ClientRequest;
use super::running_request::RunningRequest;
use super::UpstreamError;
use crate::placement::AttemptOutcome;

/// Records why an attempt gave no answer, and returns what that means for the request.
pub(super) fn on_failed(
    request: &ClientRequest,
    mut running: RunningRequest,
    error: UpstreamError,
) -> AttemptError {
    if error.is_not_sent() {
        log::info!(
            request = &*request.head.request_id,
            error:% = error;
            "the request was not sent"
        );
        running.state().metrics.on_unsent_attempt();
        if matches!(error, UpstreamError::NotSent) {
            running.record_lost();
            // Others to the address that were idle as long may have ended too.
            running.discard_idle();
            on_closed_unsent(&mut running);
        }
        return AttemptError::Unreached {
            has_timed_out: false,
        };
    }
    if error.is_broken_off() {
        running.record_crash(request.parts());
    }
    // A new connection tells an endpoint that is silent from one that is gone.
    running.discard_idle();
    if let Some(placement) = running.placement() {
        let mut reach = running.state().reach.borrow_mut();
        reach.on_failed(placement.endpoint);
    }
    running.record_outcome(match error.is_silence() {
        true => AttemptOutcome::Silent,
        false => AttemptOutcome::Unreachable,
    });
    AttemptError::MayHaveRun(error)
}

/// Records that an endpoint closed a connection before anything was sent over it: a new one if it takes no more, but
/// an idle one may have been closed because it was idle.
fn on_closed_unsent(running: &mut RunningRequest) {
    if running.connection_mut().is_reused {
        return;
    }
    if let Some(placement) = running.placement() {
        let mut reach = running.state().reach.borrow_mut();
        reach.on_failed(placement.endpoint);
    }
    running.record_outcome(AttemptOutcome::Unreachable);
}
