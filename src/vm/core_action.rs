//! The actions that a core requests from its driver.

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

/// An action that a core requests from its driver.
#[derive(Clone, Debug)]
pub enum CoreAction {
    /// Send a control message; it may be lost.
    Send {
        /// The receiver.
        to: VmKey,
        /// The message.
        message: PeerMessage,
    },
    /// Read change tickets from the configuration service.
    ReadService(ServiceRead),
    /// Publish a new catalog to the request path.
    PublishCatalog(Arc<Catalog>),
    /// Publish a new view of the VMs to the request path.
    PublishView(Arc<MembershipView>),
    /// Publish the token pools of the client accounts to the request path.
    PublishPools(TokenPools),
    /// Let the requests that wait for tokens of the account try to reserve them again.
    TokensArrived(ClientAccountKey),
    /// Refuse the requests that wait for tokens of the account.
    TokensDenied {
        /// The account.
        account: ClientAccountKey,
        /// Why no tokens were granted.
        reason: DenialReason,
    },
    /// Send a recorded submission to an endpoint, at most once.
    Proceed(RequestId),
    /// Answer a submission without sending it to an endpoint.
    AnswerCall {
        /// The submission.
        id: RequestId,
        /// The answer.
        answer: IdempotencyAnswer,
    },
    /// Start to serve requests, since the configuration is known.
    Ready,
    /// Write an entry of the audit trail.
    Audit(AuditEvent),
}
