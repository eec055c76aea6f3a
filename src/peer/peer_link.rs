//! The interface for sending to other VMs.

use async_trait::async_trait;

use super::ForwardRequest;
use super::PeerMessage;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::AnswerStream;

/// Sends messages and calls to other VMs.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Queues a control message; it is dropped if the peer is unreachable or too slow.
    fn send(&self, to: VmKey, message: PeerMessage);

    /// Forwards a call to another VM and returns the events of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerUnreachable`](crate::errors::ErrorKind::PeerUnreachable) with run state
    /// `NotRun` if the call was not sent, with `MayHaveRun` if the connection was lost or timed out
    /// after it was sent, and otherwise the refusal of the peer.
    async fn forward(
        &self,
        to: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError>;
}
