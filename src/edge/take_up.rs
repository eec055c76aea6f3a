//! Finds the software version that began a stream that a client takes up.

use std::time::Duration;

use tokio::time::timeout;

use super::client_request::ClientRequest;
use super::listing_confirmation::wait_for_listing;
use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;
use crate::entry::EntryState;
use crate::fleet::NameHash;
use crate::streams::OriginState;
use crate::streams::StreamKey;

/// How long an answer of another VM may take before it is asked again: a round trip between regions.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The number of times that other VMs are asked.
const QUESTIONS_MAX: u32 = 2;

/// Returns the software version that began the stream that a client takes up; `None` if it is not known
/// for certain.
pub(super) async fn find_version(
    state: &EntryState,
    request: &ClientRequest,
    now: Monotonic,
) -> Option<SoftwareVersion> {
    let service = NameHash::from(&request.service.name);
    let stream = request.stream_key();
    if let Some(stream) = stream {
        match state.origins.borrow().get(stream) {
            OriginState::Known(version) => return Some(version),
            OriginState::Ambiguous => return None,
            OriginState::Unknown => {}
        }
    }
    // A version that came a moment ago may have begun the stream.
    if state.only_version(now, service).is_some() && wait_for_listing(state, now).await {
        if let Some(version) = state.only_version(state.now(), service) {
            return Some(version);
        }
    }
    match stream {
        Some(stream) => ask(state, now, stream).await,
        None => None,
    }
}

/// Asks the VMs that may remember the beginning of a stream.
async fn ask(state: &EntryState, now: Monotonic, stream: StreamKey) -> Option<SoftwareVersion> {
    state.ask_for_stream(now, stream);
    for question in 1..=QUESTIONS_MAX {
        let answered = timeout(ANSWER_TIMEOUT, wait_for_answers(state, stream)).await;
        if answered.is_ok() || question == QUESTIONS_MAX {
            break;
        }
        state.ask_again_for_stream(stream);
    }
    state.origin_exchange.borrow_mut().close(stream);
    match state.origins.borrow().get(stream) {
        OriginState::Known(version) => Some(version),
        OriginState::Unknown | OriginState::Ambiguous => None,
    }
}

/// Waits until the beginning of a stream is known or each live VM that was asked has answered.
async fn wait_for_answers(state: &EntryState, stream: StreamKey) {
    loop {
        let changed = state.origins_changed.notified();
        let is_known = state.origins.borrow().get(stream) != OriginState::Unknown;
        if is_known || !state.is_stream_unanswered(state.now(), stream) {
            return;
        }
        changed.await;
    }
}
