//! A stand-in for a model engine, with switches for its faults.

mod answer_text;
mod engine_options;
mod engine_routes;
mod engine_server;
mod engine_state;
mod event_body;

pub use answer_text::answer_tokens;
pub use engine_options::EngineOptions;
pub use engine_server::EngineServer;
