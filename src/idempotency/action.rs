//! Actions that the controller returns to its owner.

use super::IdempotencyMessage;
use super::StoredAnswer;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::RequestId;

/// An action that the controller returns to its owner.
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
    /// Answer this submission without running it: nothing was or will be sent to an endpoint.
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
    /// The stored answer of the first submission.
    Stored(StoredAnswer),
    /// The submission is refused or cannot be answered.
    Failed(GatewayError),
}
