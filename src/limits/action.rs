//! What the limits decision asks its caller to do.

use super::LimitsMessage;
use super::ShardSet;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;

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
    /// A draw found no tokens; requests that wait for them give up.
    TokensDenied {
        /// The account.
        account: ClientAccountKey,
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
