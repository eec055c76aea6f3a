//! The limits of a service's endpoints.

use std::time::Duration;

use slotmap::new_key_type;

use crate::catalog::Name;

new_key_type! {
    /// A service of a [`Deployment`](super::Deployment).
    pub struct ServiceKey;
}

/// The limits that hold for each endpoint of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceProfile {
    /// The name.
    pub name: Name,
    /// The connections that an endpoint accepts from all VMs together.
    pub connections_max: u32,
    /// How long an endpoint is cold after its start.
    pub cold_start: Duration,
    /// The requests per second that a cold endpoint tolerates from all VMs together; zero for no
    /// limit.
    pub cold_rate_per_s: f64,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
}
