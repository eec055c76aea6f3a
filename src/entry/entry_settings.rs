//! The checked settings of an entry VM.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catalog::Name;
use crate::deployment::RegionKey;
use crate::deployment::Topology;
use crate::deployment::ZoneKey;

/// Where an entry VM listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryListeners {
    /// For clients.
    pub clients: SocketAddr,
    /// For questions whether the VM takes clients.
    pub readiness: SocketAddr,
    /// For other VMs, over TCP.
    pub peers: SocketAddr,
    /// For clients that ask where to connect.
    pub directory: SocketAddr,
    /// For the datagrams of other VMs; the same on all VMs.
    pub gossip_port: u16,
    /// For counters and histograms.
    pub metrics: SocketAddr,
}

/// The bounds that the users set.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryBounds {
    /// The time after which a withdrawn key must not be served.
    pub key_revocation: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
    /// The longest time for which clients keep an answer of the directory.
    pub directory_ttl_max: Duration,
    /// The repeats allowed, as a part of the requests of a service.
    pub retry_ratio: f64,
    /// The window in which repeats are counted.
    pub retry_window: Duration,
    /// The repeats allowed beyond the ratio, over all VMs.
    pub retry_slack: f64,
    /// The tolerated part above an account's rate.
    pub quota_overage: f64,
}

/// The checked settings of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of the VM.
    pub vm: Name,
    /// Its address, which names it to other VMs.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its region.
    pub region: RegionKey,
    /// All availability zones and regions.
    pub topology: Topology,
    /// Where it listens.
    pub listeners: EntryListeners,
    /// Some VMs to ask first.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The memory that the process may use.
    pub memory_max_bytes: u64,
    /// The descriptors that the process may use.
    pub descriptors_max: u64,
    /// The pause between two records of an endpoint.
    pub endpoint_heartbeat: Duration,
    /// The bounds that the users set.
    pub bounds: EntryBounds,
}
