//! What a core is told.

use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::configuration::ReadKind;
use crate::idempotency::CallOutcome;
use crate::peer::PeerMessage;
use crate::publication::PlatformError;
use crate::publication::TicketBatch;
use crate::publication::VmListEntry;
use crate::request::Call;
use crate::request::RequestId;

/// What a core is told.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time has passed; comes several times a second.
    Tick {
        /// The running requests over the capacity of the VM, in thousandths.
        load_permille: u32,
    },
    /// A control message came from another VM.
    Peer {
        /// The sender.
        from: VmKey,
        /// The message.
        message: PeerMessage,
    },
    /// A read of the configuration service ended.
    ServiceRead {
        /// The kind of the read.
        kind: ReadKind,
        /// The outcome.
        outcome: Result<TicketBatch, PlatformError>,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<VmListEntry>),
    /// A request lacks tokens.
    TokensRequested {
        /// The account.
        account: ClientAccountKey,
        /// The missing tokens.
        tokens: u64,
    },
    /// A submission of a non-idempotent call is to be recorded.
    BeginCall(Box<Call>),
    /// A submission that proceeded has ended.
    FinishCall {
        /// The submission.
        id: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The VM takes no new work from now on.
    DrainStarted,
}
