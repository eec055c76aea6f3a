//! The HTTP client towards model engines and plain services.

mod endpoint_call;
mod endpoint_client;
mod endpoint_order;
mod load_report;

pub use endpoint_call::EndpointCall;
pub use endpoint_client::EndpointClient;
pub use endpoint_order::EndpointOrder;
pub use endpoint_order::OrderOutcome;
pub use load_report::CacheEvent;
pub use load_report::LoadReport;
