//! The border towards other VMs, for sending.

use async_trait::async_trait;

use super::ForwardRequest;
use super::PeerMessage;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::AnswerStream;

/// Sends to other VMs.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Queues a control message; it is dropped if the peer is out of reach or too slow.
    fn send(&self, to: VmKey, message: PeerMessage);

    /// Hands a call to another VM and returns the events of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerUnreachable`](crate::errors::ErrorKind::PeerUnreachable) with run state
    /// `NotRun` if nothing was sent, with `MayHaveRun` if the peer fell silent after it had been
    /// sent, and the peer's own refusal otherwise.
    async fn forward(
        &self,
        to: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError>;
}
