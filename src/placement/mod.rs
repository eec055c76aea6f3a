//! The choice of the endpoint of a request, by load, cached prompt prefixes and health.

mod attempt_outcome;
mod cold_rate_limiter;
mod endpoint_health;
mod endpoint_key;
mod endpoint_notice;
mod endpoint_sample;
mod endpoint_state;
mod endpoint_table;
mod ewma;
mod load_estimate;
mod no_placement;
mod overload;
mod placement_query;
mod prefix_owner;
mod prompt_prefix;
mod region_choice;
mod wait_estimate;

pub use attempt_outcome::AttemptOutcome;
pub use cold_rate_limiter::ColdLimits;
pub use cold_rate_limiter::ColdRateLimiter;
pub use endpoint_key::EndpointKey;
pub use endpoint_state::EndpointState;
pub use endpoint_table::EndpointTable;
pub use endpoint_table::Placement;
pub use endpoint_table::PREFILL_MS_PER_TOKEN;
pub use ewma::Ewma;
pub use no_placement::NoPlacement;
pub use overload::overload_retry_after;
pub use overload::OverloadQuery;
pub use placement_query::PlacementQuery;
pub use prefix_owner::PrefixOwner;
pub use prompt_prefix::PromptPart;
pub use prompt_prefix::PromptPrefix;
pub use region_choice::choose_region;
pub use region_choice::RegionChoice;
pub use region_choice::RegionOption;
