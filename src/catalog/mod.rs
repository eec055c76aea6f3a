//! The objects that operators publish, as known to one VM.
//!
//! A [`Catalog`] is an immutable snapshot, rebuilt for each accepted ticket. An object that stays
//! published keeps its key from one snapshot to the next.

mod api_key;
mod availability_zone;
mod builder;
mod client_account;
mod endpoint;
mod keys;
mod name;
mod placement_rule;
mod region;
mod route;
mod snapshot;
mod specs;
mod ticket_number;
mod vm;

pub use api_key::KeyDigest;
pub use availability_zone::AvailabilityZone;
pub use builder::CatalogBuilder;
pub use client_account::ClientAccount;
pub use client_account::RegionShare;
pub use endpoint::Endpoint;
pub use endpoint::EndpointKind;
pub use endpoint::EndpointRole;
pub use keys::AvailabilityZoneKey;
pub use keys::ClientAccountKey;
pub use keys::EndpointKey;
pub use keys::PlacementRuleKey;
pub use keys::RegionKey;
pub use keys::RouteKey;
pub use keys::VmKey;
pub use name::Name;
pub use name::NameError;
pub use placement_rule::PlacementRule;
pub use region::Link;
pub use region::Region;
pub use route::Repeatability;
pub use route::Route;
pub use route::RouteKind;
pub use route::WorkClass;
pub use snapshot::Catalog;
pub use specs::ApiKeySpec;
pub use specs::ClientAccountSpec;
pub use specs::EndpointSpec;
pub use specs::LinkSpec;
pub use specs::ObjectSpec;
pub use specs::PlacementRuleSpec;
pub use specs::RegionShareSpec;
pub use specs::RegionSpec;
pub use specs::RouteSpec;
pub use specs::ServiceState;
pub use specs::VmSpec;
pub use ticket_number::TicketNumber;
pub use vm::Vm;
