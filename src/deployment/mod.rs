//! What the platform publishes of a deployment: routes, services, client accounts, endpoints.

mod account_policy;
mod client_limits;
#[allow(clippy::module_inception)]
mod deployment;
mod endpoint_listing;
mod endpoint_record;
mod home_regions;
mod listing_version;
mod request_ranks;
mod served_route;
mod service_profile;
mod software_version;
mod topology;

pub use account_policy::AccountKey;
pub use account_policy::AccountPolicy;
pub use client_limits::ClientLimits;
pub use deployment::Deployment;
pub use deployment::DeploymentBuilder;
pub use endpoint_listing::EndpointListing;
pub use endpoint_record::EndpointPhase;
pub use endpoint_record::EndpointRecord;
pub use endpoint_record::InstanceId;
pub use home_regions::HomeRegions;
pub use listing_version::ListingVersion;
pub use request_ranks::RequestRanks;
pub use served_route::RetrySafety;
pub use served_route::RouteKey;
pub use served_route::ServedRoute;
pub use served_route::WeightedService;
pub use service_profile::ServiceKey;
pub use service_profile::ServiceProfile;
pub use software_version::SoftwareVersion;
pub use topology::RegionKey;
pub use topology::Topology;
pub use topology::ZoneKey;
