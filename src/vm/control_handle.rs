//! The handle by which other tasks send commands to the control loop.

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

/// The outcome of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenOutcome {
    /// Tokens of the account arrived; not necessarily enough.
    Arrived,
    /// No VM grants tokens of the account now.
    Denied(DenialReason),
}

/// What to do with a recorded submission of a non-idempotent call.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginReply {
    /// Send it to an endpoint, at most once, and report the outcome with `finish_call`.
    Proceed,
    /// Answer it without sending it to an endpoint.
    Answer(IdempotencyAnswer),
}

/// A command to the control loop.
#[derive(Debug)]
pub(super) enum ControlCommand {
    /// Pass an event to the core.
    Event(CoreEvent),
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
    /// Request tokens and reply when they arrive or are denied.
    RequestTokens {
        account: ClientAccountKey,
        tokens: u64,
        reply: oneshot::Sender<TokenOutcome>,
    },
    /// Record a submission and reply what to do with it.
    BeginCall {
        call: Box<Call>,
        reply: oneshot::Sender<BeginReply>,
    },
}

/// Sends commands to the control loop.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    pub(super) commands: mpsc::Sender<ControlCommand>,
}

impl ControlHandle {
    /// Sends an event without waiting; returns `false` if the command queue is full.
    pub fn try_event(&self, event: CoreEvent) -> bool {
        self.commands.try_send(ControlCommand::Event(event)).is_ok()
    }

    /// Writes an entry of the audit trail without waiting; drops it if the command queue is full.
    pub fn audit(&self, event: AuditEvent) {
        // The trail is bounded anyway, so a lost entry is no reason to wait.
        let _ = self.commands.try_send(ControlCommand::Audit(event));
    }

    /// Sends an event; waits while the command queue is full.
    pub async fn event(&self, event: CoreEvent) {
        // Fails only if the control loop has ended, which it does with the daemon.
        let _ = self.commands.send(ControlCommand::Event(event)).await;
    }

    /// Requests tokens for an account and waits for the outcome.
    ///
    /// Returns `None` if the control loop has ended.
    pub async fn request_tokens(
        &self,
        account: ClientAccountKey,
        tokens: u64,
    ) -> Option<TokenOutcome> {
        let (reply, outcome) = oneshot::channel();
        let command = ControlCommand::RequestTokens {
            account,
            tokens,
            reply,
        };
        self.commands.send(command).await.ok()?;
        outcome.await.ok()
    }

    /// Records a submission of a non-idempotent call and returns what to do with it.
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

    /// Reports the outcome of a submission that proceeded.
    pub async fn finish_call(&self, id: RequestId, outcome: CallOutcome) {
        self.event(CoreEvent::FinishCall { id, outcome }).await;
    }
}
