//! The choice of region, VM and endpoint for a request.
//!
//! Hard filters come first: the account's allowed regions, the route, the role, the published and
//! observed state of an endpoint, and the VMs and regions that the request has visited. Among the
//! remaining endpoints, the lowest expected time to the first event decides between two random
//! ones and the one that prefix affinity selects.

mod attempt;
mod chooser;
mod endpoint_event;
mod endpoint_load;
mod endpoint_loads;
mod estimate;
mod explanation;
mod filters;
mod health;
mod in_flight_history;
mod prefix_table;
mod reported_load;
mod route_choice;
mod route_query;
mod scored_endpoint;
mod service_times;
mod slots;

pub use attempt::Attempt;
pub use chooser::choose;
pub use endpoint_event::EndpointEvent;
pub use endpoint_event::EndpointFailure;
pub use endpoint_load::EndpointLoad;
pub use endpoint_loads::EndpointLoads;
pub use estimate::expected_first_event;
pub use explanation::ExcludedEndpoint;
pub use explanation::Exclusion;
pub use explanation::Explanation;
pub use health::Health;
pub use prefix_table::PrefixTable;
pub use reported_load::ReportedLoad;
pub use route_choice::RouteChoice;
pub use route_choice::RouteDecision;
pub use route_choice::RouteRefusal;
pub use route_query::RouteQuery;
pub use route_query::FORWARDS_MAX;
pub use service_times::ServiceTimes;
pub use slots::class_slots;
pub use slots::slot_count;
pub use slots::Sharing;
