//! Actions that the membership logic returns to its caller.

use super::Incarnation;
use super::Liveness;
use super::MembershipMessage;
use crate::catalog::VmKey;

/// An action that the membership logic returns to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a VM.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: MembershipMessage,
    },
    /// A new incarnation began, after a pause of the process or because peers know a later one:
    /// drop leases and grants, and request the configuration again.
    Paused {
        /// The incarnation from now on.
        incarnation: Incarnation,
    },
    /// The liveness of a VM of the local region changed; for the audit trail.
    LivenessChanged {
        /// The VM.
        vm: VmKey,
        /// The liveness from now on.
        liveness: Liveness,
    },
}
