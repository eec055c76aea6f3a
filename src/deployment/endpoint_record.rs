//! An endpoint as it registered itself.

use std::net::SocketAddr;
use std::time::Duration;

use super::ZoneKey;
use crate::catalog::Name;

/// One start of an endpoint; an identifier may be used again after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The identifier under which the endpoint registered.
    pub id: Name,
    /// When it started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointPhase {
    /// It takes requests.
    Ready,
    /// It finishes what runs.
    Draining,
}

/// What an endpoint says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The start that the record is of.
    pub instance: InstanceId,
    /// The service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// The requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: EndpointPhase,
    /// How long it remains cold.
    pub cold_remaining: Duration,
    /// The number of the record; it grows with each one.
    pub sequence: u64,
}
