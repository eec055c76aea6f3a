//! The part of a call's answer that was relayed so far.

use bytes::BytesMut;

use crate::clock::Monotonic;
use crate::idempotency::CallOutcome;
use crate::idempotency::StoredAnswer;
use crate::operator::ExplanationBuilder;
use crate::operator::StepEvent;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::Usage;
use crate::telemetry::AnswerTimer;

/// Whether the answer of a call is stored for duplicates of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerStorage {
    /// It is relayed only.
    Discarded,
    /// It is relayed, and stored unless it is too long.
    Stored {
        /// The longest answer that is stored, in bytes.
        max_bytes: usize,
    },
}

/// The part of a call's answer that was relayed so far.
#[derive(Debug)]
pub(super) struct Progress {
    /// The chunks that were relayed; a head counts as one.
    pub(super) passed_chunks: u64,
    /// The explanation of the request for operators, so far.
    pub(super) trace: ExplanationBuilder,
    timer: AnswerTimer,
    storage: AnswerStorage,
    status: u16,
    content_type: String,
    body: BytesMut,
}

impl Progress {
    pub(super) fn new(
        received_at: Monotonic,
        storage: AnswerStorage,
        trace: ExplanationBuilder,
    ) -> Self {
        Self {
            passed_chunks: 0,
            trace,
            timer: AnswerTimer::new(received_at),
            storage,
            status: 200,
            content_type: String::new(),
            body: BytesMut::new(),
        }
    }

    /// Records an event that is relayed at `now`.
    pub(super) fn on_event(&mut self, now: Monotonic, event: &AnswerEvent) {
        match &event.payload {
            AnswerPayload::Head {
                status,
                content_type,
            } => {
                self.passed_chunks += 1;
                self.status = *status;
                self.content_type.clone_from(content_type);
            }
            AnswerPayload::Chunk(bytes) => {
                if self.passed_chunks == 0 {
                    self.trace.add(now, StepEvent::FirstToken);
                }
                self.passed_chunks += 1;
                self.timer.on_chunk(now);
                self.store(bytes);
            }
            AnswerPayload::KeepAlive | AnswerPayload::End(_) => {}
        }
    }

    /// Returns the outcome of a call whose answer ended with its end mark.
    pub(super) fn completed_outcome(&self, usage: Usage) -> CallOutcome {
        match self.storage {
            AnswerStorage::Stored { max_bytes } if self.body.len() <= max_bytes => {
                CallOutcome::Completed(StoredAnswer {
                    status: self.status,
                    content_type: self.content_type.clone(),
                    body: self.body.clone().freeze(),
                    usage,
                })
            }
            AnswerStorage::Stored { .. } | AnswerStorage::Discarded => CallOutcome::RanUnkept,
        }
    }

    /// Returns the times of the answer's chunks, and the explanation.
    pub(super) fn into_parts(self) -> (AnswerTimer, ExplanationBuilder) {
        (self.timer, self.trace)
    }

    fn store(&mut self, bytes: &[u8]) {
        let AnswerStorage::Stored { max_bytes } = self.storage else {
            return;
        };
        // One byte more than allowed shows that the answer is too long.
        let room = (max_bytes + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}
