//! Checks whether an answer is the endpoint's answer to the request that was sent.

use std::time::Duration;

use http_body_util::BodyExt;
use tokio::time::timeout;

use super::answer_notices::record_notices;
use super::answer_notices::record_rates;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::Target;
use super::client_request::ClientRequest;
use super::forward_headers;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;
use crate::platform::AnswerHead;

/// The longest wait for the body of a refusal; the connection is closed if the body is late.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Records what the head of an answer says, and returns the answer if it is one to this request.
///
/// # Errors
///
/// Returns an [`AttemptError`] if the endpoint or VM refused the request, or if the answer may belong to
/// another request.
pub(super) async fn check_head(
    state: &EntryState,
    request: &ClientRequest,
    target: &Target,
    sent_at: Monotonic,
    mut answer: Answer,
) -> Result<Answer, AttemptError> {
    let now = state.now();
    answer.running.on_head(now);
    let head = AnswerHead::decode(&answer.parts);
    if is_for_other(request, target, &head, &mut answer) {
        answer.running.record_outcome(AttemptOutcome::Failed);
        return Err(AttemptError::MayHaveRun(UpstreamError::Unverified));
    }
    answer.running.record_answered(sent_at);
    if head.is_closing || answer.ends_with_connection() {
        answer.running.connection_mut().on_closing();
    }
    if let Some(keep_alive) = head.keep_alive {
        answer.running.connection_mut().on_keep_alive(keep_alive);
    }
    if let Some(placement) = answer.running.placement() {
        state.reach.borrow_mut().on_sign_of_life();
        let mut endpoints = state.endpoints.borrow_mut();
        if let Some((running, waiting)) = head.load {
            endpoints.on_load(now, placement.endpoint, running, waiting);
        }
        if let Some(remaining) = head.cold_remaining {
            if endpoints.on_cold(now, placement.endpoint, remaining) {
                log::info!(
                    to:% = target,
                    remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
                    listing_age_ms = state.belief.borrow().listing_age_ms(now);
                    "an endpoint that counted as warm is cold"
                );
            }
        }
        if head.is_other_instance {
            endpoints.on_replaced(placement.endpoint);
        }
    }
    if !head.is_other_instance {
        record_notices(state, now, target, &head);
        record_rates(state, now, target, &head);
    }
    if forward_headers::is_quarantined(&answer.parts.headers) {
        let remaining = head.retry_after.unwrap_or_default();
        log_refusal(request, target, &mut answer);
        on_refused(request, answer, None, true).await;
        return Err(AttemptError::Quarantined(remaining));
    }
    if head.is_not_executed || forward_headers::is_not_run(&answer.parts.headers) {
        log_refusal(request, target, &mut answer);
        let is_certain = head.request_id.is_some() || is_certainly_for(target, &mut answer);
        return Err(on_refused(request, answer, head.retry_after, is_certain).await);
    }
    let is_success = answer.parts.status.is_success();
    let has_identifier = head.request_id.is_some();
    // No request asks for another protocol, so a switch to one is no answer.
    let is_informational = answer.parts.status.is_informational();
    let is_verified = !is_success || (head.is_signed && has_identifier);
    if head.is_encoded || is_informational || !is_verified {
        answer.running.record_outcome(AttemptOutcome::Failed);
        return Err(AttemptError::MayHaveRun(UpstreamError::Unverified));
    }
    answer
        .running
        .record_outcome(if answer.parts.status.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered {
                latency: now.since(sent_at),
            }
        });
    Ok(answer)
}

/// Returns whether an answer may belong to an earlier request on the connection: endpoints may write
/// an answer once more, which then says nothing about this request or the endpoint's present state.
///
/// Without an identifier, a refusal on a connection that was used before may do so; it is believed
/// where a second run does no harm.
fn is_for_other(
    request: &ClientRequest,
    target: &Target,
    head: &AnswerHead,
    answer: &mut Answer,
) -> bool {
    match &head.request_id {
        Some(id) => **id != *request.head.request_id,
        None => {
            head.is_not_executed
                && !request.route.retry_safety.is_retryable()
                && !is_certainly_for(target, answer)
        }
    }
}

/// Returns whether an answer without an identifier is certainly for the request that was sent.
fn is_certainly_for(target: &Target, answer: &mut Answer) -> bool {
    matches!(target, Target::Vm { .. }) || !answer.running.connection_mut().is_reused
}

/// Logs a refusal of an endpoint or a VM.
fn log_refusal(request: &ClientRequest, target: &Target, answer: &mut Answer) {
    let status = answer.parts.status.as_u16();
    let connection = answer.running.connection_mut();
    log::info!(
        request = &*request.head.request_id,
        to:% = target,
        address:% = connection.address,
        status,
        request_count = connection.request_count;
        "the attempt was refused"
    );
}

/// Reads the rest of a refusal; unless it is certainly for this request, its connection is closed, as
/// the endpoint may work on the request.
async fn on_refused(
    request: &ClientRequest,
    mut answer: Answer,
    retry_after: Option<Duration>,
    is_certain: bool,
) -> AttemptError {
    let has_arrived = !forward_headers::is_unsent(&answer.parts.headers);
    answer.running.record_outcome(AttemptOutcome::Refused);
    if is_certain {
        let rest = timeout(REFUSAL_BODY_TIMEOUT, answer.body.collect()).await;
        if matches!(rest, Ok(Ok(_))) {
            answer.running.finish_failed(&request.head.request_id);
        }
    }
    AttemptError::NotRun {
        has_arrived,
        retry_after,
    }
}
