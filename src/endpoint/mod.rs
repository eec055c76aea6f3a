//! The HTTP client towards model engines and plain services.

mod answer_checker;
mod call_guard;
mod connections;
mod endpoint_call;
mod endpoint_client;
mod endpoint_order;
mod engine_answer;
mod engine_wire;
mod http_endpoint_client;
mod load_report;
mod service_answer;
mod timed_events;
mod transport_errors;

pub use answer_checker::AnswerChecker;
pub use answer_checker::Verdict;
pub use endpoint_call::EndpointCall;
pub use endpoint_client::EndpointClient;
pub use endpoint_order::EndpointOrder;
pub use endpoint_order::OrderOutcome;
pub use engine_wire::ChoiceWire;
pub use engine_wire::DeltaWire;
pub use engine_wire::EngineEventWire;
pub use engine_wire::EventWireError;
pub use engine_wire::PromptDetailsWire;
pub use engine_wire::UsageWire;
pub use engine_wire::DONE_DATA;
pub use engine_wire::KEEP_ALIVE_EVENT;
pub use engine_wire::PRIORITY_HEADER;
pub use engine_wire::REQUEST_ID_HEADER;
pub use engine_wire::RESUME_OFFSET_HEADER;
pub use engine_wire::RUN_STATE_HEADER;
pub use http_endpoint_client::HttpEndpointClient;
pub use load_report::CacheEvent;
pub use load_report::LoadReport;
