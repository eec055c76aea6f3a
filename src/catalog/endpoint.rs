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
    /// The phases of a request that a model engine runs.
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
    /// The number of requests that the endpoint runs concurrently.
    pub concurrency: u32,
    /// Whether the endpoint refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

/// The kind of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The phases of a request that a model engine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointRole {
    /// Prefill and decode: the prompt and the answer.
    Full,
    /// Prefill only: the prompt.
    Prefill,
    /// Decode only: the answer.
    Decode,
}

impl Endpoint {
    /// Returns whether the endpoint serves `route`.
    pub fn serves(&self, route: RouteKey) -> bool {
        self.routes.contains(&route)
    }

    /// Returns whether the endpoint takes new requests, that is, is not draining.
    pub fn takes_new_work(&self) -> bool {
        self.state == ServiceState::Active
    }
}
