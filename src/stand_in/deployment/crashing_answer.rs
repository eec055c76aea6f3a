//! Answers of an endpoint stand-in that end with its crash.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use tokio::time::sleep;

use super::answer_body::connection_reset;
use super::answer_body::AnswerBody;
use super::endpoint_state::EndpointState;
use super::work_log::RunningWork;

/// The delay between the head of an answer and the crash under it, in which the head is sent.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Crashes the endpoint within its first event, every other time before its first byte.
pub(super) fn crashing_stream(
    state: Arc<Mutex<EndpointState>>,
    pause: Duration,
    running: RunningWork,
) -> AnswerBody {
    let has_partial_event = state.lock().process.crashes().len().is_multiple_of(2);
    let partial_event = has_partial_event.then(|| Bytes::from_static(b"id: 1\nda"));
    crashing_body(state, partial_event, pause, running)
}

/// Crashes the endpoint after these bytes.
pub(super) fn crashing_body(
    state: Arc<Mutex<EndpointState>>,
    sent: Option<Bytes>,
    pause: Duration,
    running: RunningWork,
) -> AnswerBody {
    let crash = stream::once(async move {
        crash_after(&state, pause).await;
        drop(running);
        Err(connection_reset())
    });
    let sent = sent.map(|bytes| Ok(Frame::data(bytes)));
    Box::pin(StreamBody::new(stream::iter(sent).chain(crash)))
}

/// Crashes the endpoint after this time, in which a head that was written is sent.
pub(super) async fn crash_after(state: &Mutex<EndpointState>, pause: Duration) {
    sleep(pause.max(CRASH_DELAY)).await;
    state.lock().process.crash();
}
