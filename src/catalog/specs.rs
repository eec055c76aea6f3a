//! The values of published objects, with references by name.
//!
//! Change tickets carry specs. References are resolved only when a [`Catalog`](super::Catalog) is
//! built, so a ticket is valid on its own, also if it refers to objects that are not published yet.

use std::net::SocketAddr;

use super::EndpointKind;
use super::EndpointRole;
use super::Name;
use super::Repeatability;
use super::RouteKind;
use super::WorkClass;

/// The value of one published object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObjectSpec {
    /// A region with its availability zones.
    Region(RegionSpec),
    /// An entry VM.
    Vm(VmSpec),
    /// A client account.
    ClientAccount(ClientAccountSpec),
    /// An API key; the object's name is the key's digest in hexadecimal.
    ApiKey(ApiKeySpec),
    /// A route.
    Route(RouteSpec),
    /// An endpoint.
    Endpoint(EndpointSpec),
    /// A placement rule.
    PlacementRule(PlacementRuleSpec),
}

/// Whether a VM or an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceState {
    /// Takes new requests.
    Active,
    /// Draining: finishes running requests and takes no new ones.
    Leaving,
}

/// The value of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSpec {
    /// The names of the availability zones.
    pub availability_zones: Vec<Name>,
    /// The links to other regions.
    pub links: Vec<LinkSpec>,
}

/// The value of a wide-area link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSpec {
    /// The region that the link leads to.
    pub to: Name,
    /// The one-way latency, in microseconds.
    pub one_way_us: u64,
    /// The bandwidth in each direction, in bits per second.
    pub bandwidth_bits_per_s: u64,
}

/// The value of an entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSpec {
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub availability_zone: Name,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// Whether the VM takes new work.
    pub state: ServiceState,
}

/// The value of a client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientAccountSpec {
    /// The regions in which requests may run.
    pub allowed_regions: Vec<Name>,
    /// The rate over all VMs together, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst over all VMs together, in tokens.
    pub burst_tokens: u64,
    /// The weight in fair scheduling.
    pub weight: u32,
    /// The split of rate and burst over regions; empty means equal shares.
    pub region_shares: Vec<RegionShareSpec>,
}

/// The share of an account's rate and burst that belongs to one region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionShareSpec {
    /// The region.
    pub region: Name,
    /// The weight relative to the other shares.
    pub weight: u32,
}

/// The value of an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiKeySpec {
    /// The client account that the key belongs to.
    pub client_account: Name,
}

/// The value of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSpec {
    /// Whether the route leads to a model or to a plain service.
    pub kind: RouteKind,
    /// Whether callers need no API key.
    pub is_open: bool,
    /// The work class of the requests.
    pub class: WorkClass,
    /// Whether a call may be sent to an endpoint more than once.
    pub repeatability: Repeatability,
    /// The longest time from admission to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// The longest time to the first event, in milliseconds.
    pub first_event_timeout_ms: u64,
    /// The longest time between two events, in milliseconds.
    pub silence_timeout_ms: u64,
    /// The longest answer, in tokens.
    pub answer_max_tokens: u64,
    /// The tokens that one call of a plain service costs.
    pub call_cost_tokens: u64,
}

/// The value of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointSpec {
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The phases of a request that a model engine runs.
    pub role: EndpointRole,
    /// The HTTP address.
    pub address: SocketAddr,
    /// The region.
    pub region: Name,
    /// The availability zone.
    pub availability_zone: Name,
    /// The routes that it serves.
    pub routes: Vec<Name>,
    /// Whether it takes new work.
    pub state: ServiceState,
    /// The number of requests that the endpoint runs concurrently.
    pub concurrency: u32,
    /// Whether the endpoint refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

/// The value of a placement rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRuleSpec {
    /// The route of the model.
    pub route: Name,
    /// The region.
    pub region: Name,
    /// The version of the model.
    pub version: Name,
    /// The desired number of engines.
    pub engine_count: u32,
}
