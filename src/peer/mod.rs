//! Messages and transport between VMs.
//!
//! Each connection starts with an authenticated [`handshake`]. Connections for forwarded calls then
//! use capnp-rpc, whose objects are bound to one thread: the [`CapnpPeerLink`] dials on one thread,
//! the [`PeerServer`] accepts on another. Control connections carry one-way messages in packed
//! Cap'n Proto, without RPC.

mod answer_receiver;
mod answer_sender;
mod backoff;
mod capnp_peer_link;
mod connection;
mod connection_use;
mod control_connection;
mod control_receiver;
mod counted_socket;
mod delivery;
mod forward_request;
mod forward_sender;
#[allow(
    clippy::all,
    missing_docs,
    rust_2018_idioms,
    unreachable_pub,
    unsafe_code
)]
pub mod generated;
pub mod handshake;
mod link_dispatcher;
mod peer_context;
mod peer_counters;
mod peer_handler;
mod peer_link;
mod peer_message;
mod peer_secret;
mod peer_server;
mod peer_service;
mod peer_thread;
mod peer_timings;
mod peer_worker;
mod pings;
pub mod wire;
mod wire_error;

pub use capnp_peer_link::CapnpPeerLink;
pub use forward_request::ForwardRequest;
pub use handshake::ConnectionPurpose;
pub use handshake::HandshakeError;
pub use peer_context::PeerContext;
pub use peer_counters::MessageKind;
pub use peer_counters::PeerCounters;
pub use peer_counters::PeerFault;
pub use peer_counters::Traffic;
pub use peer_handler::PeerHandler;
pub use peer_link::PeerLink;
pub use peer_message::PeerMessage;
pub use peer_secret::PeerSecret;
pub use peer_secret::PeerSecretError;
pub use peer_server::PeerServer;
pub use peer_timings::PeerTimings;
pub use wire_error::WireError;
