//! Messages and transport between VMs.

mod forward_request;
#[allow(
    clippy::all,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    unsafe_code
)]
pub mod generated;
mod peer_handler;
mod peer_link;
mod peer_message;
mod wire_error;

pub use forward_request::ForwardRequest;
pub use peer_handler::PeerHandler;
pub use peer_link::PeerLink;
pub use peer_message::PeerMessage;
pub use wire_error::WireError;
