//! The HTTP interface towards callers.

mod answer_body;
mod caller_answer;
mod caller_headers;
mod caller_limits;
mod caller_server;
mod caller_state;
mod completion_answer;
mod completion_routes;
mod completion_wire;
mod error_wire;
mod gateway;
mod http_server;
mod information_routes;
mod information_wire;
mod prompt;
mod service_route;
mod sse_encoder;

pub use caller_limits::CallerLimits;
pub use caller_server::CallerServer;
pub use completion_wire::CompletionWire;
pub use completion_wire::ContentWire;
pub use completion_wire::MessageWire;
pub use completion_wire::PartWire;
pub use error_wire::ErrorBodyWire;
pub use error_wire::ErrorWire;
pub use gateway::EntryAnswer;
pub use gateway::EntryList;
pub use gateway::Gateway;
pub use gateway::ModelList;
pub use http_server::HttpServer;
pub use http_server::LaunchError;
pub use prompt::estimate_tokens;
pub use prompt::prefix_hashes;
pub use prompt::PREFIX_BLOCK_BYTES;
