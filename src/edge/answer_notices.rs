//! What endpoints ask of this VM in the heads of their answers.

use super::attempt::Target;
use crate::clock::Monotonic;
use crate::entry::EntryState;
use crate::placement::RateKind;
use crate::platform::AnswerHead;
use crate::platform::RateNotice;

/// Records what an endpoint asks of this VM in the head of an answer.
pub(super) fn record_notices(
    state: &EntryState,
    now: Monotonic,
    target: &Target,
    head: &AnswerHead,
) {
    let Target::Endpoint { instance, .. } = target else {
        return;
    };
    let mut endpoints = state.endpoints.borrow_mut();
    if head.is_leaving && endpoints.on_leaving(now, instance) {
        log::info!(endpoint = instance.id.as_str(); "the endpoint is leaving; it gets no more requests");
    }
    let Some(pause) = head.retry_after else {
        return;
    };
    if endpoints.on_pause(now, instance, pause) {
        log::info!(
            endpoint = instance.id.as_str(),
            pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            "the endpoint wants no requests for a time"
        );
    }
}

/// Records the rates that an endpoint names in the head of an answer.
pub(super) fn record_rates(state: &EntryState, now: Monotonic, target: &Target, head: &AnswerHead) {
    record_rate(state, now, target, RateKind::Requests, head.rate);
    record_rate(state, now, target, RateKind::Refusals, head.refusals);
}

fn record_rate(
    state: &EntryState,
    now: Monotonic,
    target: &Target,
    kind: RateKind,
    rate: RateNotice,
) {
    let Target::Endpoint { placement, .. } = target else {
        return;
    };
    match rate {
        RateNotice::Unlimited => state.on_rate(now, placement.endpoint, kind, None),
        RateNotice::PerS(rate_per_s) => {
            state.on_rate(now, placement.endpoint, kind, Some(rate_per_s))
        }
        RateNotice::Invalid => log::info!(to:% = target; "ignored a rate limit that is no rate"),
    }
}
