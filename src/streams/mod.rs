//! Which software version began a stream, so that a client can take it up at any VM.

mod origin_exchange;
mod origin_message;
mod origin_repair;
mod replica_count;
mod stream_key;
mod stream_origins;
mod version_history;
mod wire;
mod wire_error;

pub use origin_exchange::OriginExchange;
pub use origin_message::OriginMessage;
pub use origin_message::StreamOrigin;
pub use origin_repair::OriginRepair;
pub use replica_count::ReplicaCount;
pub use stream_key::StreamKey;
pub use stream_origins::OriginState;
pub use stream_origins::StreamOrigins;
pub use version_history::VersionHistory;
pub use version_history::VersionSighting;
pub use wire::decode_origin_message;
pub use wire::encode_origin_message;
pub use wire_error::StreamWireError;
