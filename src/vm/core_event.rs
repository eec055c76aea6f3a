//! The events that a core handles.

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

/// An event that a core handles.
#[derive(Clone, Debug)]
pub enum CoreEvent {
    /// Time has passed; sent several times a second.
    Tick {
        /// The running requests relative to the capacity of the VM, in thousandths.
        load_permille: u32,
    },
    /// A control message arrived from another VM.
    Peer {
        /// The sender.
        from: VmKey,
        /// The message.
        message: PeerMessage,
    },
    /// A read of the configuration service ended.
    ServiceRead {
        /// The kind of the read, as in the action that started it.
        kind: ReadKind,
        /// The tickets read, or why the read failed.
        outcome: Result<TicketBatch, PlatformError>,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<VmListEntry>),
    /// A request could not reserve its tokens.
    TokensRequested {
        /// The account.
        account: ClientAccountKey,
        /// The missing tokens.
        tokens: u64,
    },
    /// A submission of a non-idempotent call has to be recorded before it may be sent.
    BeginCall(Box<Call>),
    /// A submission that proceeded has ended.
    FinishCall {
        /// The submission.
        id: RequestId,
        /// How it ended.
        outcome: CallOutcome,
    },
    /// The drain of the VM began.
    DrainStarted,
}
