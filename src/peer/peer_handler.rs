//! The interface for messages and calls from other VMs.

use async_trait::async_trait;

use super::ForwardRequest;
use super::PeerMessage;
use crate::catalog::Name;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::AnswerStream;

/// Handles messages and calls from other VMs.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles a control message; must not block.
    fn on_message(&self, from: VmKey, message: PeerMessage);

    /// Handles a control message of a VM that is not in the catalog in force; must not block.
    ///
    /// Seeds send such messages while this VM boots. The default ignores them.
    fn on_seed_message(&self, from: Name, message: PeerMessage) {
        let _ = (from, message);
    }

    /// Serves a call that another VM forwarded.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure, which the other VM receives unchanged.
    async fn on_forward(
        &self,
        from: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError>;
}
