//! How far the answer of a request has come.

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

/// Whether the answer of a call is kept for repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerStorage {
    /// It is passed on only.
    Discarded,
    /// It is kept, up to a length in bytes.
    Stored {
        /// The longest answer that is kept, in bytes.
        max_bytes: usize,
    },
}

/// How far the answer of a request has come.
#[derive(Debug)]
pub(super) struct Progress {
    /// The chunks that were passed on.
    pub(super) passed_chunks: u64,
    /// What happened so far, for operators.
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

    /// Notes an event that is passed on at `now`.
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

    /// Returns the outcome of a call that ended with its end mark.
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

    /// Returns the times of the parts of the answer, and what happened.
    pub(super) fn into_parts(self) -> (AnswerTimer, ExplanationBuilder) {
        (self.timer, self.trace)
    }

    fn store(&mut self, bytes: &[u8]) {
        let AnswerStorage::Stored { max_bytes } = self.storage else {
            return;
        };
        // One byte more than allowed marks an answer that is too long.
        let room = (max_bytes + 1).saturating_sub(self.body.len());
        self.body.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}
