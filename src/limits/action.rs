//! What the limits decision asks its caller to do.

use super::LimitsMessage;
use super::ShardSet;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;

/// Why requests get no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DenialReason {
    /// The homes in reach have answered and have no tokens left: the account is over its rate.
    Spent,
    /// No home is known or has answered; whether the account is over its rate is not known.
    NoHome,
}

/// What the limits decision asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsAction {
    /// Send a message to a VM.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: LimitsMessage,
    },
    /// Tokens of an account arrived; requests that wait for them try again.
    TokensArrived {
        /// The account.
        account: ClientAccountKey,
    },
    /// Nobody has tokens to give; requests that wait for them give up.
    TokensDenied {
        /// The account.
        account: ClientAccountKey,
        /// Why.
        reason: DenialReason,
    },
    /// This VM accrues the accounts of these shards from now on; for the audit trail.
    LeaseAcquired {
        /// The shards.
        shards: ShardSet,
    },
    /// This VM no longer accrues the accounts of these shards; for the audit trail.
    LeaseLost {
        /// The shards.
        shards: ShardSet,
    },
    /// The pools were replaced: publish [`LimitsController::pools`](super::LimitsController::pools).
    PoolsChanged,
}
