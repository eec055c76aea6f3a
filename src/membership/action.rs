//! What the membership decision asks its caller to do.

use super::Incarnation;
use super::Liveness;
use super::MembershipMessage;
use crate::catalog::VmKey;

/// What the membership decision asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a VM.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: MembershipMessage,
    },
    /// The process was paused: drop what was granted to it, ask for the configuration again.
    Paused {
        /// The incarnation from now on.
        incarnation: Incarnation,
    },
    /// A VM of the own region is seen differently from now on; for the audit trail.
    LivenessChanged {
        /// The VM.
        vm: VmKey,
        /// What is seen now.
        liveness: Liveness,
    },
}
