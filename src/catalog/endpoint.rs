//! Endpoints: model engines and plain services.

use std::net::SocketAddr;

use super::AvailabilityZoneKey;
use super::Name;
use super::RegionKey;
use super::RouteKey;
use super::ServiceState;

/// A model engine or a server of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The name.
    pub name: Name,
    /// Whether it is a model engine or a plain service.
    pub kind: EndpointKind,
    /// The role that a model engine plays.
    pub role: EndpointRole,
    /// The HTTP address.
    pub address: SocketAddr,
    /// The region that the endpoint runs in.
    pub region: RegionKey,
    /// The availability zone that the endpoint runs in.
    pub availability_zone: AvailabilityZoneKey,
    /// The routes that the endpoint serves.
    pub routes: Vec<RouteKey>,
    /// Whether the endpoint takes new work.
    pub state: ServiceState,
    /// The number of requests that it runs at once.
    pub concurrency: u32,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The part of the work on a request that a model engine takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointRole {
    /// Prompt and answer.
    Full,
    /// The prompt only.
    Prefill,
    /// The answer only.
    Decode,
}

impl Endpoint {
    /// Tells whether the endpoint serves `route`.
    pub fn serves(&self, route: RouteKey) -> bool {
        self.routes.contains(&route)
    }

    /// Tells whether the endpoint may be given new work.
    pub fn takes_new_work(&self) -> bool {
        self.state == ServiceState::Active
    }
}
