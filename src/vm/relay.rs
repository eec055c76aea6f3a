//! Relays the events of one attempt to the caller.

use std::time::Duration;

use futures::StreamExt;
use tokio::time::sleep;
use tokio::time::Instant;

use super::call_end::truncated;
use super::call_end::CallEnd;
use super::call_end::DisconnectPolicy;
use super::call_task::CallTask;
use crate::clock::Monotonic;
use crate::errors::GatewayError;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

/// Follows the answer of one attempt.
pub(super) trait RelayWatch {
    /// Records an event of the answer.
    fn on_event(&mut self, task: &CallTask, now: Monotonic);

    /// Returns the time without an event after which [`Self::on_silence`] is called.
    fn silence_timeout(&self) -> Duration;

    /// Records that no event came in time; returns an error to end the attempt, or the time after
    /// which to be called again.
    fn on_silence(&mut self, task: &CallTask, now: Monotonic) -> Result<Duration, GatewayError>;
}

impl CallTask {
    /// Relays events until the answer, the attempt or the call ends.
    pub(super) async fn relay(
        &mut self,
        mut stream: AnswerStream,
        watch: &mut impl RelayWatch,
    ) -> CallEnd {
        let sink = self.sink.clone();
        let expiry = sleep(self.remaining());
        let silence = sleep(watch.silence_timeout());
        tokio::pin!(expiry, silence);
        loop {
            let item = tokio::select! {
                biased;
                () = sink.closed(), if self.on_disconnect == DisconnectPolicy::Cancel => {
                    return CallEnd::Disconnected;
                }
                () = &mut expiry => return CallEnd::Failed(self.deadline_error()),
                item = stream.next() => item,
                () = &mut silence => {
                    let now = self.context.clock.now();
                    match watch.on_silence(self, now) {
                        Ok(next_call) => silence.as_mut().reset(Instant::now() + next_call),
                        Err(error) => return CallEnd::Failed(error),
                    }
                    continue;
                }
            };
            let event = match item {
                Some(Ok(event)) => event,
                Some(Err(error)) => return CallEnd::Failed(error),
                None => return CallEnd::Failed(truncated()),
            };
            let now = self.context.clock.now();
            watch.on_event(self, now);
            if let Some(end) = self.pass_on(now, event).await {
                return end;
            }
            // The time in which the caller did not read is no silence of the endpoint.
            let timeout = watch.silence_timeout();
            silence.as_mut().reset(Instant::now() + timeout);
        }
    }

    async fn pass_on(&mut self, now: Monotonic, event: AnswerEvent) -> Option<CallEnd> {
        if event.payload == AnswerPayload::KeepAlive && self.progress.passed_chunks == 0 {
            // Sends nothing yet, so that a failure can still set the HTTP status.
            return None;
        }
        self.progress.on_event(now, &event);
        let usage = match &event.payload {
            AnswerPayload::End(usage) => Some(*usage),
            _ => None,
        };
        let is_delivered = self.sink.send(Ok(event)).await.is_ok();
        if !is_delivered && self.on_disconnect == DisconnectPolicy::Cancel {
            return Some(CallEnd::Disconnected);
        }
        usage.map(CallEnd::Completed)
    }
}
