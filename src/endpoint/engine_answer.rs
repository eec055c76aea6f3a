//! Reads and checks the answer of a model engine.

use std::pin::Pin;
use std::sync::Arc;

use eventsource_stream::Event;
use eventsource_stream::EventStreamError;
use eventsource_stream::Eventsource;
use futures::stream;
use futures::Stream;
use futures::StreamExt;
use reqwest::Response;

use super::call_guard::CallGuard;
use super::time_limits::TimeLimits;
use super::transport_errors;
use super::AnswerChecker;
use super::EngineEventWire;
use super::HeldBytes;
use super::Verdict;
use super::DONE_DATA;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

type Events = Pin<Box<dyn Stream<Item = Result<Event, EventStreamError<GatewayError>>> + Send>>;

/// The answer of a model engine that is being read.
pub(super) struct EngineAnswer {
    events: Events,
    /// The bytes since the last event.
    held: Arc<HeldBytes>,
    checker: AnswerChecker,
    limits: TimeLimits,
    guard: CallGuard,
}

impl EngineAnswer {
    /// Starts reading the body of `response`.
    pub(super) fn new(
        response: Response,
        held: HeldBytes,
        checker: AnswerChecker,
        limits: TimeLimits,
        guard: CallGuard,
    ) -> Self {
        let held = Arc::new(held);
        let counted = Arc::clone(&held);
        let bytes = response.bytes_stream().map(move |chunk| {
            let chunk = chunk.map_err(|_| transport_errors::truncated())?;
            counted.add(chunk.len())?;
            Ok(chunk)
        });
        Self {
            events: Box::pin(bytes.eventsource()),
            held,
            checker,
            limits,
            guard,
        }
    }

    /// Returns the events that pass the checks; the stream ends after the end mark or an error.
    pub(super) fn into_stream(self) -> AnswerStream {
        Box::pin(stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.next_checked().await {
                Ok(event) if matches!(event.payload, AnswerPayload::End(_)) => {
                    Some((Ok(event), None))
                }
                Ok(event) => Some((Ok(event), Some(answer))),
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    async fn next_checked(&mut self) -> Result<AnswerEvent, GatewayError> {
        loop {
            let event = self.next_event().await?;
            if self.checker.check(&event)? == Verdict::Drop {
                continue;
            }
            self.limits.restart_silence_timeout();
            if self.checker.is_ended() {
                self.guard.disarm();
            }
            return Ok(event);
        }
    }

    async fn next_event(&mut self) -> Result<AnswerEvent, GatewayError> {
        let received = self.limits.enforce(self.events.next()).await;
        if is_silent(&received) {
            self.guard.discard_pool();
        }
        let event =
            received?
                .ok_or_else(transport_errors::truncated)?
                .map_err(|error| match error {
                    EventStreamError::Transport(error) => error,
                    _ => transport_errors::truncated(),
                })?;
        self.held.release();
        parse(&event)
    }
}

fn is_silent<T>(received: &Result<T, GatewayError>) -> bool {
    matches!(received, Err(error) if error.kind == ErrorKind::AnswerSilent)
}

fn parse(event: &Event) -> Result<AnswerEvent, GatewayError> {
    if event.data == DONE_DATA {
        return Err(transport_errors::truncated());
    }
    let wire: EngineEventWire = serde_json::from_str(&event.data).map_err(|_| {
        transport_errors::malformed("an event of the answer does not follow the engine protocol")
    })?;
    AnswerEvent::try_from(wire).map_err(|error| transport_errors::malformed(error.to_string()))
}
