//! Passes a stream on to its client, and resumes it where that is allowed.

use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::header;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::time::timeout;

use super::attempt::Answer;
use super::attempts::Attempts;
use super::client_request::ClientRequest;
use super::EdgeBody;
use super::EventSplitter;
use super::UpstreamError;
use crate::placement::AttemptOutcome;

/// The silence after which a stream is resumed elsewhere, as a multiple of the longest pause that
/// is on time; clients give up at eight times that pause.
const SILENCE_GAPS: u32 = 5;

/// The headers of an answer that concern one connection only.
const CONNECTION_ONLY: [&str; 6] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
];

/// Returns the headers for the client.
pub(super) fn client_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in CONNECTION_ONLY {
        headers.remove(name);
    }
    headers
}

/// Returns the status for the client: one that promises that nothing ran must not be passed on for
/// a request that ran.
pub(super) fn client_status(request: &ClientRequest, status: StatusCode) -> StatusCode {
    let is_promise = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if is_promise && !request.route.repetition.is_repeatable() {
        StatusCode::BAD_GATEWAY
    } else {
        status
    }
}

/// Builds the answer whose body passes the stream on.
pub(super) fn response(attempts: Attempts, answer: Answer) -> Response<EdgeBody> {
    let status = answer.parts.status;
    let mut headers = client_headers(answer.parts.headers.clone());
    headers.remove(header::CONTENT_LENGTH);
    let last_id = attempts.request.head.last_event_id;
    let relay = StreamRelay {
        attempts,
        answer: Some(answer),
        splitter: EventSplitter::new(last_id),
    };
    let frames = stream::try_unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Ok(bytes.map(|bytes| (Frame::data(bytes), relay)))
    });
    let mut response = Response::new(Box::pin(StreamBody::new(frames)) as EdgeBody);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// What came next of an endpoint's stream.
enum Piece {
    Bytes(Bytes),
    End,
}

/// Passes whole events on.
struct StreamRelay {
    attempts: Attempts,
    answer: Option<Answer>,
    splitter: EventSplitter,
}

impl StreamRelay {
    /// Returns the next events; `None` after the last one.
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match self.piece().await {
                Ok(Piece::Bytes(bytes)) => {
                    let events = self.splitter.push(&bytes);
                    if !events.is_empty() {
                        return Ok(Some(events));
                    }
                }
                Ok(Piece::End) if self.splitter.is_at_boundary() => {
                    if let Some(answer) = self.answer.take() {
                        answer.running.finish();
                    }
                    return Ok(None);
                }
                Ok(Piece::End) => self.resume(UpstreamError::Truncated).await?,
                Err(error) => self.resume(error).await?,
            }
        }
    }

    async fn piece(&mut self) -> Result<Piece, UpstreamError> {
        let request = &self.attempts.request;
        let time_left = request.time_left(self.attempts.state.now());
        if time_left.is_zero() {
            return Err(UpstreamError::DeadlinePassed);
        }
        let silence_max = self.silence_max(time_left);
        let Some(answer) = &mut self.answer else {
            return Ok(Piece::End);
        };
        loop {
            let Ok(frame) = timeout(silence_max, answer.body.frame()).await else {
                return Err(match silence_max < time_left {
                    true => UpstreamError::Timeout(silence_max),
                    false => UpstreamError::DeadlinePassed,
                });
            };
            match frame {
                None => return Ok(Piece::End),
                Some(Err(error)) => return Err(UpstreamError::Broken(error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Piece::Bytes(data));
                    }
                }
            }
        }
    }

    /// Returns how long to wait for the next event; without another attempt, to the end.
    fn silence_max(&self, time_left: Duration) -> Duration {
        let silence_max = self.attempts.request.route.event_gap * SILENCE_GAPS;
        if self.attempts.can_repeat() && !silence_max.is_zero() {
            silence_max.min(time_left)
        } else {
            time_left
        }
    }

    /// Goes on with the stream at another endpoint.
    async fn resume(&mut self, error: UpstreamError) -> Result<(), UpstreamError> {
        if let Some(mut answer) = self.answer.take() {
            answer.running.note(AttemptOutcome::Failed);
        }
        let request = &self.attempts.request;
        log::info!(
            request = &*request.head.request_id,
            after_event = self.splitter.last_id().unwrap_or(0),
            can_resume = self.attempts.can_repeat(),
            error:% = error;
            "stream broken"
        );
        if !self.attempts.can_repeat() {
            return Err(error);
        }
        self.splitter.drop_partial();
        let resume_after = self.splitter.last_id();
        let Ok(answer) = self.attempts.next_answer(resume_after).await else {
            return Err(error);
        };
        if !answer.parts.status.is_success() {
            return Err(error);
        }
        self.answer = Some(answer);
        Ok(())
    }
}
