//! The bodies of an endpoint stand-in's answers.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::time::sleep;

use super::silence::Silence;
use super::work_log::RunningWork;
use super::EndpointFaults;

/// The number of events in a complete stream.
const EVENT_COUNT: u64 = 6;

/// The body of an answer.
pub(super) type AnswerBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error> + Send>>;

/// Returns a body that is sent at once.
pub(super) fn whole_body(text: String) -> AnswerBody {
    Box::pin(Full::from(text).map_err(|never| match never {}))
}

/// Returns the body of a plain answer; `running` is held until its end.
pub(super) fn plain_body(
    silence: Arc<Silence>,
    faults: &EndpointFaults,
    running: RunningWork,
) -> AnswerBody {
    let (pause, loses_answers) = (faults.pause, faults.loses_answers);
    let answer = match faults.answer_bytes {
        Some(length) => Bytes::from(vec![b'x'; length]),
        None => Bytes::from_static(b"done"),
    };
    let frames = stream::once(async move {
        sleep(pause).await;
        silence.wait().await;
        drop(running);
        match loses_answers {
            true => Err(connection_reset()),
            false => Ok(Frame::data(answer)),
        }
    });
    Box::pin(StreamBody::new(frames))
}

fn endless_body(chunk_bytes: usize, pause: Duration, running: RunningWork) -> AnswerBody {
    let chunk = Bytes::from(vec![b'x'; chunk_bytes]);
    let frames = stream::unfold(running, move |running| {
        let chunk = chunk.clone();
        async move {
            sleep(pause).await;
            Some((Ok(Frame::data(chunk)), running))
        }
    });
    Box::pin(StreamBody::new(frames))
}

/// Returns a stream from an event on, written by a software version; `running` is held until its end.
pub(super) fn event_stream(
    silence: Arc<Silence>,
    first_event: u64,
    faults: &EndpointFaults,
    version: Option<String>,
    running: RunningWork,
) -> AnswerBody {
    if let Some(chunk_bytes) = faults.endless_bytes {
        return endless_body(chunk_bytes, faults.pause, running);
    }
    let (pause, truncated_event) = (faults.pause, faults.truncated_event);
    let frames = stream::unfold(
        (Some(first_event), silence, version, running),
        move |(next, silence, version, running)| async move {
            let id = next.filter(|id| *id <= EVENT_COUNT)?;
            sleep(pause.max(Duration::from_millis(1))).await;
            silence.wait().await;
            if truncated_event.is_some_and(|truncated_event| id > truncated_event) {
                return Some((Err(connection_reset()), (None, silence, version, running)));
            }
            let event = event(id, version.as_deref());
            let length = match truncated_event == Some(id) {
                true => event.len() / 2,
                false => event.len(),
            };
            let bytes = event.slice(..length);
            let state = (Some(id + 1), silence, version, running);
            Some((Ok(Frame::data(bytes)), state))
        },
    );
    Box::pin(StreamBody::new(frames))
}

/// Returns the event with a number, which names the software version that wrote it, if it has one.
pub(super) fn event(id: u64, version: Option<&str>) -> Bytes {
    Bytes::from(match version {
        Some(version) => format!("id: {id}\ndata: part {id} of {version}\n\n"),
        None => format!("id: {id}\ndata: part {id}\n\n"),
    })
}

pub(super) fn connection_reset() -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, "reset by a simulated fault")
}

/// Returns an answer without a body to the request with this identifier.
pub(super) fn empty_for(request_id: &str, status: StatusCode) -> Response<AnswerBody> {
    let mut response = empty(status);
    if let Ok(value) = HeaderValue::from_str(request_id) {
        response.headers_mut().insert("request-id", value);
    }
    response
}

/// Returns an answer without a body.
pub(super) fn empty(status: StatusCode) -> Response<AnswerBody> {
    let body = Full::<Bytes>::default().map_err(|never| -> io::Error { match never {} });
    let mut response = Response::new(Box::pin(body) as AnswerBody);
    *response.status_mut() = status;
    response
}
