//! Serves clients and other VMs, and sends requests to endpoints.
//!
//! It uses `hyper` directly: `rocket` cannot abort an answer, detect that a client disconnected, or
//! stream a body through unchanged.

mod answer_check;
mod answer_memory;
mod answer_notices;
mod attempt;
mod attempts;
mod client_connection;
mod client_head;
mod client_request;
mod connection_end;
mod connection_pool;
mod connection_query;
mod continuation;
mod continued_stream;
mod directory;
mod edge_body;
mod edge_listener;
mod endpoint_probe;
mod event_splitter;
mod failed_requests;
mod failure_status;
mod forward_headers;
mod handlers;
mod head_limit;
mod hedge;
mod listing_confirmation;
mod overlap;
mod peer_encoding;
mod peer_fetch;
mod pooled_connection;
mod process_match;
mod refusal;
mod relay;
mod request_homes;
mod request_intake;
mod running_request;
mod send_gate;
mod served_request;
mod silence;
mod take_up;
mod target_choice;
mod tried_targets;
mod unwritten_request;
mod upstream_error;

pub use connection_end::LostConnection;
pub use connection_pool::ConnectionPool;
pub use edge_body::EdgeBody;
pub use edge_listener::EdgeListener;
pub use edge_listener::EdgeRole;
pub use edge_listener::EdgeStage;
pub use endpoint_probe::probe;
pub use event_splitter::EventSplitter;
pub use failed_requests::FailedRequests;
pub use failure_status::may_pass_status;
pub use failure_status::AnswerSource;
pub use overlap::overlap_max;
pub use overlap::SilentPath;
pub use peer_fetch::fetch_configuration;
pub use peer_fetch::fetch_listing;
pub use refusal::Refusal;
pub use refusal::RefusalKind;
pub use upstream_error::UpstreamError;
