//! How other tasks reach the control loop.

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::CoreEvent;
use crate::audit::AuditEvent;
use crate::catalog::ClientAccountKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::idempotency::CallOutcome;
use crate::idempotency::IdempotencyAnswer;
use crate::limits::DenialReason;
use crate::request::Call;
use crate::request::RequestId;

/// What became of tokens that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// Tokens of the account arrived.
    Arrived,
    /// Nobody has tokens of the account to give.
    Denied(DenialReason),
}

/// What is to be done with a submission of a non-idempotent call.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginReply {
    /// Send it to an endpoint, once, and tell the outcome.
    Proceed,
    /// Answer it without sending anything.
    Answer(IdempotencyAnswer),
}

/// A command to the control loop.
#[derive(Debug)]
pub(super) enum ControlCommand {
    /// Hand an event to the core.
    Event(CoreEvent),
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
    /// Draw tokens and tell when they arrive.
    RequestTokens {
        account: ClientAccountKey,
        tokens: u64,
        reply: oneshot::Sender<TokenOutcome>,
    },
    /// Record a submission and tell what to do with it.
    BeginCall {
        call: Box<Call>,
        reply: oneshot::Sender<BeginReply>,
    },
}

/// Reaches the control loop from other tasks.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) commands: mpsc::Sender<ControlCommand>,
}

impl ControlHandle {
    /// Hands an event over without waiting; tells whether there was room for it.
    pub fn try_event(&self, event: CoreEvent) -> bool {
        self.commands.try_send(ControlCommand::Event(event)).is_ok()
    }

    /// Writes an entry of the audit trail without waiting.
    pub fn audit(&self, event: AuditEvent) {
        // The trail is bounded anyway; an entry too many is no reason to wait.
        let _ = self.commands.try_send(ControlCommand::Audit(event));
    }

    /// Hands an event over.
    pub async fn event(&self, event: CoreEvent) {
        // The loop ends only with the daemon.
        let _ = self.commands.send(ControlCommand::Event(event)).await;
    }

    /// Draws tokens for an account and waits for news of them.
    pub async fn request_tokens(
        &self,
        account: ClientAccountKey,
        tokens: u64,
    ) -> Option<TokenOutcome> {
        let (reply, news) = oneshot::channel();
        let command = ControlCommand::RequestTokens {
            account,
            tokens,
            reply,
        };
        self.commands.send(command).await.ok()?;
        news.await.ok()
    }

    /// Records a submission of a non-idempotent call and waits for what to do with it.
    ///
    /// # Errors
    ///
    /// Returns an error with run state `NotRun` if the control loop has ended.
    pub async fn begin_call(&self, call: Call) -> Result<BeginReply, GatewayError> {
        let (reply, decision) = oneshot::channel();
        let command = ControlCommand::BeginCall {
            call: Box::new(call),
            reply,
        };
        let stopped = || GatewayError::new(ErrorKind::Draining, "the VM is stopping");
        self.commands.send(command).await.map_err(|_| stopped())?;
        decision.await.map_err(|_| stopped())
    }

    /// Tells the outcome of a submission that proceeded.
    pub async fn finish_call(&self, id: RequestId, outcome: CallOutcome) {
        self.event(CoreEvent::FinishCall { id, outcome }).await;
    }
}
