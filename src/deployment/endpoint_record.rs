//! The record of an endpoint in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use super::SoftwareVersion;
use super::ZoneKey;
use crate::catalog::Name;

/// One start of an endpoint; an identifier may be used again after a restart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The identifier under which the endpoint registered.
    pub id: Name,
    /// When it started, in milliseconds since the Unix epoch; zero if its record does not say so.
    pub started_unix_ms: u64,
}

impl InstanceId {
    /// Returns whether it is known when it started.
    pub const fn has_start(&self) -> bool {
        self.started_unix_ms > 0
    }
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointPhase {
    /// It takes new requests.
    Ready,
    /// It only finishes its running requests.
    Draining,
}

/// The record with which an endpoint registers in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The start of the endpoint that the record belongs to.
    pub instance: InstanceId,
    /// The service that it serves.
    pub service: Name,
    /// The version of its software; `None` if a VM of an earlier build passed the record on.
    pub version: Option<SoftwareVersion>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// The requests that it processes at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: EndpointPhase,
    /// How long it remains cold from the record's arrival; zero if it is warm.
    pub cold_remaining: Duration,
    /// The sequence number of the record; it grows with each one of the instance.
    pub sequence: u64,
}
