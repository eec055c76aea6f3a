//! A stand-in for a model engine, with simulated faults.

mod answer_job;
mod answer_text;
mod completion_route;
mod control_routes;
mod engine_counts;
mod engine_faults;
mod engine_options;
mod engine_server;
mod engine_state;
mod event_body;
mod load_history;
mod operation_routes;
mod prefix_cache;
mod slots;

pub use answer_text::answer_tokens;
pub use engine_counts::EngineCounts;
pub use engine_faults::EngineFaults;
pub use engine_options::EngineOptions;
pub use engine_server::EngineServer;
