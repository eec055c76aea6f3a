//! Passes a stream on to its client, and resumes it at another endpoint if the route allows it.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use futures::StreamExt;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::answer_memory::AnswerMemory;
use super::attempt::Answer;
use super::attempts::Attempts;
use super::client_head::ClientHead;
use super::overlap::overlap_max;
use super::silence::wait_for;
use super::silence::SilenceLimits;
use super::EdgeBody;
use super::EventSplitter;
use super::Refusal;
use super::RefusalKind;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::placement::AttemptOutcome;

/// The time without an event after which a stream may be resumed elsewhere, as a multiple of the route's
/// target for the gap between events. Clients abort at eight times that target.
const SILENCE_TIMEOUT_GAPS: u32 = 5;

/// The longest event of a stream: many times the events of a model's answer. An endpoint that sends
/// bytes without end would otherwise fill the memory of the VM.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// How long after its first event a stream with more events shows that the request does not crash the
/// endpoint. Until a long stream ends, its endpoint may stop for another reason.
const SURVIVED_STREAM: Duration = Duration::from_millis(1_000);

/// Builds the answer whose body passes the stream on, once its first event has arrived.
///
/// The head waits for that event: a client that got a head cannot be told any more that its request
/// failed.
///
/// # Errors
///
/// Returns a [`Refusal`] if the stream broke off before its first event and could not be resumed.
pub(super) async fn response(
    attempts: Attempts,
    answer: Answer,
) -> Result<Response<EdgeBody>, Refusal> {
    let last_id = attempts.request.head.last_event_id;
    let progressed_at = attempts.state.now();
    let mut relay = StreamRelay {
        has_begun: attempts.version.is_some(),
        memory: AnswerMemory::new(&attempts.state),
        head: ClientHead::from(&answer),
        attempts,
        answer: Some(answer),
        splitter: EventSplitter::new(last_id),
        progressed_at,
        has_event: false,
        first_event_at: progressed_at,
    };
    let first = relay.next().await.map_err(|error| refusal(&error))?;
    let head = relay.head.clone();
    let first = stream::iter(first.map(|events| Ok(Frame::data(events))));
    let rest = stream::try_unfold(relay, |mut relay| async move {
        let bytes = relay.next().await?;
        Ok(bytes.map(|bytes| (Frame::data(bytes), relay)))
    });
    let mut response = Response::new(Box::pin(StreamBody::new(first.chain(rest))) as EdgeBody);
    *response.status_mut() = head.status;
    *response.headers_mut() = head.headers;
    Ok(response)
}

const fn refusal(error: &UpstreamError) -> Refusal {
    Refusal::new(match error {
        UpstreamError::DeadlinePassed => RefusalKind::TimedOut,
        _ => RefusalKind::Failed,
    })
}

/// The result of one read of an endpoint's stream.
enum Chunk {
    Bytes(Bytes),
    End,
}

/// The state of one relayed stream; it passes on whole events only.
struct StreamRelay {
    attempts: Attempts,
    answer: Option<Answer>,
    splitter: EventSplitter,
    /// The memory of the event that is not whole yet.
    memory: AnswerMemory,
    /// Whether the client has an event of the stream, of this answer or an earlier one.
    has_begun: bool,
    head: ClientHead,
    /// When the head of the present answer or its last whole event arrived.
    progressed_at: Monotonic,
    /// Whether the present answer has had a new event.
    has_event: bool,
    /// When that event arrived.
    first_event_at: Monotonic,
}

impl StreamRelay {
    /// Returns the next events; `None` after the last one.
    async fn next(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match self.next_chunk().await {
                Ok(Chunk::Bytes(bytes)) => {
                    self.on_bytes();
                    let events = self.splitter.push(&bytes);
                    if !events.is_empty() {
                        self.memory.release();
                        self.on_event();
                        self.progressed_at = self.attempts.state.now();
                        return Ok(Some(events));
                    }
                    if let Err(error) = self.hold_partial() {
                        self.resume(error).await?;
                    }
                }
                Ok(Chunk::End) => match self.check_end() {
                    Ok(()) => {
                        if let Some(answer) = self.answer.take() {
                            let request = &self.attempts.request;
                            let status = answer.parts.status;
                            answer.running.record_survived(request.fingerprint, status);
                            answer.running.finish();
                        }
                        return Ok(None);
                    }
                    Err(error) => self.resume(error).await?,
                },
                Err(error) => self.resume(error).await?,
            }
        }
    }

    /// Takes the memory for the event that is not whole yet.
    fn hold_partial(&mut self) -> Result<(), UpstreamError> {
        let bytes = self.splitter.partial_bytes();
        self.memory.hold(bytes, EVENT_MAX_BYTES)
    }

    /// Checks that the stream was not broken off where its body ended.
    fn check_end(&self) -> Result<(), UpstreamError> {
        if !self.splitter.is_at_boundary() {
            return Err(UpstreamError::Truncated);
        }
        // An endpoint that fails closes its connection too, possibly right after the head.
        let ends_with_connection = self
            .answer
            .as_ref()
            .is_some_and(Answer::ends_with_connection);
        match ends_with_connection && !self.has_event {
            true => Err(UpstreamError::NoEvent),
            false => Ok(()),
        }
    }

    async fn next_chunk(&mut self) -> Result<Chunk, UpstreamError> {
        let now = self.attempts.state.now();
        let limits = SilenceLimits {
            silence_timeout: self.silence_timeout(now),
            time_left: self.attempts.request.time_left(now),
        };
        if limits.time_left.is_zero() {
            return Err(UpstreamError::DeadlinePassed);
        }
        let Some(answer) = &mut self.answer else {
            return Ok(Chunk::End);
        };
        let state = Rc::clone(&self.attempts.state);
        let try_leave = |now| self.attempts.try_leave(now);
        match wait_for(&state, limits, next_data(&mut answer.body), try_leave).await? {
            None => Ok(Chunk::End),
            Some(Ok(data)) => Ok(Chunk::Bytes(data)),
            Some(Err(error)) => Err(UpstreamError::Broken(error)),
        }
    }

    /// Returns whether another endpoint may go on: once the stream has begun, only one of its version.
    fn can_resume(&self) -> bool {
        self.attempts.can_retry() && (!self.has_begun || self.attempts.version.is_some())
    }

    /// Returns how much longer to wait for an event before the stream may be resumed elsewhere; `None`
    /// if it may not.
    fn silence_timeout(&self, now: Monotonic) -> Option<Duration> {
        let silence_timeout = self.attempts.request.route.event_gap * SILENCE_TIMEOUT_GAPS;
        let is_limited = self.can_resume() && !silence_timeout.is_zero();
        // Bytes that complete no event are no progress.
        let elapsed = now.since(self.progressed_at);
        is_limited.then(|| silence_timeout.saturating_sub(elapsed))
    }

    /// Records bytes of the present answer.
    fn on_bytes(&self) {
        let placement = self
            .answer
            .as_ref()
            .and_then(|answer| answer.running.placement());
        if placement.is_some() {
            let mut reach = self.attempts.state.reach.borrow_mut();
            reach.on_sign_of_life();
        }
    }

    /// Records an event of the present answer: with the first one the endpoint has answered the prompt.
    fn on_event(&mut self) {
        let Attempts { state, request, .. } = &self.attempts;
        let now = state.now();
        let Some(answer) = &self.answer else {
            return;
        };
        if std::mem::replace(&mut self.has_event, true) {
            if now.since(self.first_event_at) >= SURVIVED_STREAM {
                let status = answer.parts.status;
                answer.running.record_survived(request.fingerprint, status);
            }
            return;
        }
        self.first_event_at = now;
        state.on_prompt_answered(now, answer.running.instance(), &request.head.prefix);
        if !std::mem::replace(&mut self.has_begun, true) {
            self.attempts.version = answer.version;
        }
        self.attempts.waits_since = None;
        self.attempts.record_version(now);
    }

    /// Records an answer that the endpoint broke off; after an event, a part of the prompt alone is not
    /// the cause.
    fn record_broken_off(&self, answer: &Answer) {
        let request = &self.attempts.request;
        if self.has_event {
            answer.running.record_crash([request.fingerprint]);
        } else {
            answer.running.record_crash(request.parts());
        }
    }

    /// Resumes the stream at another endpoint, after the last event passed on; a silent answer is kept
    /// if that fails.
    async fn resume(&mut self, error: UpstreamError) -> Result<(), UpstreamError> {
        let mut left = self.answer.take();
        if let Some(answer) = &mut left {
            answer.running.record_outcome(match error.is_silence() {
                true => AttemptOutcome::Silent,
                false => AttemptOutcome::Failed,
            });
            if error.is_broken_off() {
                self.record_broken_off(answer);
            }
        }
        let request = &self.attempts.request;
        log::info!(
            request = &*request.head.request_id,
            request_hash:% = request.fingerprint,
            after_event = self.splitter.last_id().unwrap_or(0),
            has_event = self.has_event,
            parts = request.prompt_parts_text().as_str(),
            can_resume = self.can_resume(),
            version:? = self.attempts.version.map(|version| version.to_string()),
            error:% = error;
            "stream interrupted"
        );
        // A refused resumption keeps the silent answer, which would be resumed again at once.
        if !self.can_resume() || matches!(error, UpstreamError::DeadlinePassed) {
            return Err(error);
        }
        let resumed = match left.filter(|_| error.is_silence()) {
            Some(silent) => {
                self.attempts.has_silent_answer = true;
                let resumed = self.next_answer_beside(silent).await;
                self.attempts.has_silent_answer = false;
                resumed
            }
            None => self.next_answer().await.ok_or(None),
        };
        match resumed {
            Ok(answer) => {
                self.splitter.drop_partial();
                self.memory.release();
                if !self.has_begun {
                    self.head = ClientHead::from(&answer);
                }
                self.answer = Some(answer);
                self.progressed_at = self.attempts.state.now();
                self.has_event = false;
                Ok(())
            }
            Err(Some(silent)) => {
                self.answer = Some(silent);
                Ok(())
            }
            Err(None) => Err(error),
        }
    }

    /// Returns the answer that continues the stream; `None` if there is none.
    async fn next_answer(&mut self) -> Option<Answer> {
        let resume_after = self.splitter.last_id();
        match self.attempts.next_answer(resume_after).await {
            Ok(answer) => Some(answer).filter(|answer| answer.parts.status.is_success()),
            Err(refusal) => {
                log::info!(
                    request = &*self.attempts.request.head.request_id,
                    reason = refusal.kind.as_str();
                    "stream not resumed"
                );
                None
            }
        }
    }

    /// Returns the answer that continues a silent one.
    ///
    /// The silent answer is kept until the other endpoint has accepted the request, for a short time:
    /// two endpoints must not work on one request for long.
    ///
    /// # Errors
    ///
    /// Returns the silent answer if the request was refused or failed in that time; `None` if it could
    /// not be resumed later either.
    async fn next_answer_beside(&mut self, silent: Answer) -> Result<Answer, Option<Answer>> {
        let silent_target = self.attempts.tried.last();
        let state = Rc::clone(&self.attempts.state);
        let request = Rc::clone(&self.attempts.request);
        let began_at = state.now();
        let on_left = |silent: Answer| {
            let overlap = state.now().since(began_at);
            drop(silent);
            state.metrics.on_overlap(overlap);
            log::info!(
                request = &*request.head.request_id,
                overlap_ms = overlap.as_millis() as u64;
                "silent answer left for another attempt"
            );
        };
        {
            let overlap_max = overlap_max(silent.running.path());
            let mut next = pin!(self.next_answer());
            if let Ok(answer) = timeout(overlap_max, &mut next).await {
                let Some(answer) = answer else {
                    return Err(Some(silent));
                };
                on_left(silent);
                return Ok(answer);
            }
            on_left(silent);
            if let Some(answer) = next.await {
                return Ok(answer);
            }
        }
        self.attempts.has_silent_answer = false;
        self.attempts.tried.on_silent(silent_target);
        match self.can_resume() {
            true => self.next_answer().await.ok_or(None),
            false => Err(None),
        }
    }
}

/// Returns the next data of a body; `None` at its end.
async fn next_data(body: &mut Incoming) -> Option<Result<Bytes, hyper::Error>> {
    loop {
        match body.frame().await? {
            Ok(frame) => {
                if let Ok(data) = frame.into_data() {
                    return Some(Ok(data));
                }
            }
            Err(error) => return Some(Err(error)),
        }
    }
}
