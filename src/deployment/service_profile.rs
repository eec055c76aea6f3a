//! What is known of a service as a whole.

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
    /// The connections that an endpoint accepts from all callers together.
    pub connections_max: u32,
    /// How long an endpoint is cold after its start.
    pub cold_start: Duration,
    /// The requests that a cold endpoint tolerates, a second, from all callers together.
    pub cold_rate_per_s: f64,
    /// Whether the endpoints are model engines.
    pub is_engine: bool,
}
