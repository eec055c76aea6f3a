//! Actions that the limits controller asks its caller to take.

use super::LimitsMessage;
use super::ShardSet;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;

/// Why waiting requests get no tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DenialReason {
    /// The reachable homes answered that they have no tokens left: the account is over its rate.
    Spent,
    /// No home is known, or none has answered; whether the account is over its rate is unknown.
    NoHome,
}

/// Actions that the limits controller asks its caller to take.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsAction {
    /// Send a message to a VM.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: LimitsMessage,
    },
    /// Tokens of an account arrived; requests that wait for them retry.
    TokensArrived {
        /// The account.
        account: ClientAccountKey,
    },
    /// No home can grant tokens now; requests that wait for them are refused.
    TokensDenied {
        /// The account.
        account: ClientAccountKey,
        /// Why.
        reason: DenialReason,
    },
    /// This VM acquired the leases of these shards and is now the home of their accounts; for the
    /// audit trail.
    LeaseAcquired {
        /// The shards.
        shards: ShardSet,
    },
    /// This VM lost the leases of these shards and is no longer the home of their accounts; for the
    /// audit trail.
    LeaseLost {
        /// The shards.
        shards: ShardSet,
    },
    /// A pool was added or removed: publish
    /// [`LimitsController::pools`](super::LimitsController::pools).
    PoolsChanged,
}
