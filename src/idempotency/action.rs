//! What the controller asks its owner to do.

use super::IdempotencyMessage;
use super::StoredAnswer;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::RequestId;

/// What the controller asks its owner to do.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyAction {
    /// Send a message to another VM.
    Send {
        /// The VM.
        to: VmKey,
        /// The message.
        message: IdempotencyMessage,
    },
    /// Send the call of this submission to an endpoint, once.
    Proceed {
        /// The submission.
        id: RequestId,
    },
    /// Answer this submission; nothing of it was sent and nothing will be.
    Answer {
        /// The submission.
        id: RequestId,
        /// The answer.
        answer: IdempotencyAnswer,
    },
}

/// The answer of a submission that does not run.
#[derive(Clone, Debug, PartialEq)]
pub enum IdempotencyAnswer {
    /// The answer of the first submission.
    Stored(StoredAnswer),
    /// An error.
    Failed(GatewayError),
}
