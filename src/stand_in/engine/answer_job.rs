//! The task that generates one answer of the stand-in engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;

use super::engine_state::AttemptId;
use super::engine_state::EngineState;
use super::event_body;
use super::slots::Slot;
use super::EngineFaults;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::CompletionCall;
use crate::request::RequestId;
use crate::request::Usage;

const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const FOREIGN_CHUNK_TEXT: &str = "crossed ";

/// The generation of one answer.
pub(super) struct AnswerJob {
    /// The attempt.
    pub(super) id: AttemptId,
    /// The request.
    pub(super) call: CompletionCall,
    /// The priority; higher numbers get a slot first.
    pub(super) priority: u32,
    /// The offset of the first chunk to send.
    pub(super) resume_offset: u64,
    /// The tokens of the whole answer, from offset 0.
    pub(super) tokens: Vec<String>,
    /// The faults of this answer.
    pub(super) faults: EngineFaults,
    /// The engine's shared state.
    pub(super) state: Arc<EngineState>,
    /// The channel for encoded events.
    pub(super) events: mpsc::Sender<Bytes>,
}

/// Why an answer ends before its end event.
enum Stop {
    /// The connection was closed or the attempt cancelled.
    Closed,
    /// A simulated fault ends the body.
    Truncated,
}

impl AnswerJob {
    /// Sends the answer until its end, a simulated fault, or its cancellation.
    pub(super) async fn run(self) {
        let tokens = self.call.prompt_tokens + self.call.answer_max_tokens;
        let cancelled = self.state.begin_job(self.id, tokens);
        let result = tokio::select! {
            biased;
            () = cancelled.cancelled() => Err(Stop::Closed),
            result = self.write() => result,
        };
        let mut counts = self.state.counts.lock();
        match result {
            Ok(()) => counts.finished += 1,
            Err(Stop::Closed) => counts.cancelled += 1,
            Err(Stop::Truncated) => {}
        }
        drop(counts);
        self.state.end_job(self.id);
        self.state.record_load();
    }

    async fn write(&self) -> Result<(), Stop> {
        pause(Duration::from_millis(self.faults.first_event_delay_ms)).await;
        let _slot = self.wait_for_slot().await?;
        self.state.record_load();
        let cached_tokens = self.prefill().await?;
        for (offset, token) in self.remaining_tokens() {
            self.apply_end_faults(offset).await?;
            pause(self.state.time_per_token()).await;
            let payload = AnswerPayload::Chunk(Bytes::from(token.clone()));
            self.send_with_faults(offset, payload).await?;
        }
        let token_count = u64::try_from(self.tokens.len()).unwrap_or(u64::MAX);
        self.apply_end_faults(token_count).await?;
        let usage = Usage {
            prompt_tokens: self.call.prompt_tokens,
            cached_tokens,
            answer_tokens: token_count,
        };
        self.send_with_faults(token_count, AnswerPayload::End(usage))
            .await
    }

    fn remaining_tokens(&self) -> impl Iterator<Item = (u64, &String)> {
        let first = usize::try_from(self.resume_offset).unwrap_or(usize::MAX);
        (0..).zip(&self.tokens).skip(first)
    }

    async fn wait_for_slot(&self) -> Result<Slot, Stop> {
        let mut slot_receiver = self.state.slots.acquire(self.priority);
        self.state.record_load();
        loop {
            match timeout(KEEP_ALIVE_INTERVAL, &mut slot_receiver).await {
                Ok(slot) => return slot.map_err(|_| Stop::Closed),
                Err(_) => self.send_keep_alive().await?,
            }
        }
    }

    /// Simulates the prefill of the prompt and returns the number of its cached tokens.
    async fn prefill(&self) -> Result<u64, Stop> {
        let cached_tokens = self.state.read_prompt(&self.call);
        let new_tokens = self.call.prompt_tokens - cached_tokens;
        let per_token = self.state.options.prefill_time_per_token;
        let mut remaining = per_token * u32::try_from(new_tokens).unwrap_or(u32::MAX);
        while remaining > KEEP_ALIVE_INTERVAL {
            sleep(KEEP_ALIVE_INTERVAL).await;
            self.send_keep_alive().await?;
            remaining -= KEEP_ALIVE_INTERVAL;
        }
        pause(remaining).await;
        Ok(cached_tokens)
    }

    async fn apply_end_faults(&self, chunk_count: u64) -> Result<(), Stop> {
        if self.faults.silent_after_chunks == Some(chunk_count) {
            match std::future::pending::<Infallible>().await {}
        }
        if self.faults.truncated_after_chunks == Some(chunk_count) {
            return Err(Stop::Truncated);
        }
        Ok(())
    }

    async fn send_with_faults(&self, offset: u64, payload: AnswerPayload) -> Result<(), Stop> {
        if self.faults.has_crossed_events {
            let foreign_chunk =
                AnswerPayload::Chunk(Bytes::from_static(FOREIGN_CHUNK_TEXT.as_bytes()));
            let other = RequestId(self.id.request_id.0 ^ 1);
            self.send(other, offset, foreign_chunk).await?;
        }
        if self.faults.missing_chunk == Some(offset) {
            return Ok(());
        }
        let request_id = self.id.request_id;
        self.send(request_id, offset, payload.clone()).await?;
        if self.faults.has_repeated_events {
            self.send(request_id, offset, payload).await?;
            self.resend_previous(offset).await?;
        }
        Ok(())
    }

    async fn resend_previous(&self, offset: u64) -> Result<(), Stop> {
        let Some(previous) = offset.checked_sub(1) else {
            return Ok(());
        };
        let index = usize::try_from(previous).unwrap_or(usize::MAX);
        let token = self.tokens.get(index).cloned().unwrap_or_default();
        let payload = AnswerPayload::Chunk(Bytes::from(token));
        self.send(self.id.request_id, previous, payload).await
    }

    async fn send_keep_alive(&self) -> Result<(), Stop> {
        let offset = self.resume_offset;
        self.send(self.id.request_id, offset, AnswerPayload::KeepAlive)
            .await
    }

    async fn send(
        &self,
        request_id: RequestId,
        offset: u64,
        payload: AnswerPayload,
    ) -> Result<(), Stop> {
        let event = AnswerEvent {
            request_id,
            offset,
            payload,
        };
        self.state.silence.ended().await;
        let sent = self.events.send(event_body::encode(event)).await;
        sent.map_err(|_| Stop::Closed)
    }
}

/// Sleeps for `duration`; returns at once if it is zero, which a timer does not.
async fn pause(duration: Duration) {
    if !duration.is_zero() {
        sleep(duration).await;
    }
}
