//! Cap'n Proto encoding of control messages.

use crate::catalog::Catalog;
use crate::configuration::ConfigurationMessage;
use crate::idempotency::IdempotencyMessage;
use crate::limits::LimitsMessage;
use crate::membership::MembershipMessage;
use crate::peer::generated::peer_capnp::control_message;
use crate::peer::PeerMessage;
use crate::peer::WireError;

/// Writes a control message.
pub fn write_control(
    message: &PeerMessage,
    catalog: &Catalog,
    mut builder: control_message::Builder<'_>,
) {
    match message {
        PeerMessage::Membership(message) => {
            message.write(catalog, builder.reborrow().init_membership());
        }
        PeerMessage::Configuration(message) => {
            message.write(builder.reborrow().init_configuration());
        }
        PeerMessage::Limits(message) => message.write(catalog, builder.reborrow().init_limits()),
        PeerMessage::Idempotency(message) => {
            message.write(catalog, builder.reborrow().init_idempotency());
        }
    }
}

/// Reads a control message.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed or names an object that is not in `catalog`.
pub fn read_control(
    reader: control_message::Reader<'_>,
    catalog: &Catalog,
) -> Result<PeerMessage, WireError> {
    use control_message::Which;
    Ok(match reader.which()? {
        Which::Membership(message) => {
            PeerMessage::Membership(MembershipMessage::read(message?, catalog)?)
        }
        Which::Configuration(message) => {
            PeerMessage::Configuration(ConfigurationMessage::read(message?)?)
        }
        Which::Limits(message) => PeerMessage::Limits(LimitsMessage::read(message?, catalog)?),
        Which::Idempotency(message) => {
            PeerMessage::Idempotency(IdempotencyMessage::read(message?, catalog)?)
        }
    })
}
