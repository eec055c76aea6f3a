//! What a core wants done.

use std::sync::Arc;

use crate::audit::AuditEvent;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::configuration::ServiceRead;
use crate::idempotency::IdempotencyAnswer;
use crate::limits::DenialReason;
use crate::limits::TokenPools;
use crate::membership::MembershipView;
use crate::peer::PeerMessage;
use crate::request::RequestId;

/// What a core wants done.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a control message; it may be lost.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: PeerMessage,
    },
    /// Read the configuration service.
    ReadService(ServiceRead),
    /// Publish a catalog.
    PublishCatalog(Arc<Catalog>),
    /// Publish the view of the other VMs.
    PublishView(Arc<MembershipView>),
    /// Publish the token pools.
    PublishPools(TokenPools),
    /// Requests that wait for tokens of the account try again.
    TokensArrived(ClientAccountKey),
    /// Requests that wait for tokens of the account give up.
    TokensDenied {
        /// The account.
        account: ClientAccountKey,
        /// Why.
        reason: DenialReason,
    },
    /// A recorded submission is sent to an endpoint, once.
    Proceed(RequestId),
    /// A submission is answered without being sent.
    AnswerCall {
        /// The submission.
        id: RequestId,
        /// The answer.
        answer: IdempotencyAnswer,
    },
    /// The configuration is known: requests are served from now on.
    Ready,
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
}
