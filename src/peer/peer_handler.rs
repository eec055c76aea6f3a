//! The border towards other VMs, for receiving.

use async_trait::async_trait;

use super::ForwardRequest;
use super::PeerMessage;
use crate::catalog::Name;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::AnswerStream;

/// Takes what other VMs send.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Takes a control message; it returns at once.
    fn on_message(&self, from: VmKey, message: PeerMessage);

    /// Takes a control message of a VM that the catalog in force does not name; it returns at once.
    ///
    /// Such messages come from seeds while this VM boots. The default ignores them.
    fn on_seed_message(&self, from: Name, message: PeerMessage) {
        let _ = (from, message);
    }

    /// Serves a call that another VM handed over.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure; it travels back to the caller as it is.
    async fn on_forward(
        &self,
        from: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError>;
}
