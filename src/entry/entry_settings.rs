//! The validated settings of an entry VM.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::catalog::Name;
use crate::deployment::RegionKey;
use crate::deployment::Topology;
use crate::deployment::ZoneKey;

/// The addresses that an entry VM listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryListeners {
    /// For requests of clients.
    pub clients: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For forwarded requests and fetches of other VMs, over TCP; the same port on all VMs.
    pub peers: SocketAddr,
    /// For directory queries of clients.
    pub directory: SocketAddr,
    /// For gossip datagrams of other VMs, over UDP; the same on all VMs.
    pub gossip_port: u16,
    /// For datagrams of other VMs about streams, over UDP; the same on all VMs.
    pub stream_port: u16,
    /// For scrapes of the metrics.
    pub metrics: SocketAddr,
}

/// The bounds that the operators set in the settings file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryBounds {
    /// The time after which a published configuration binds all VMs; [`Duration::MAX`] for never.
    pub configuration_deadline: Duration,
    /// The longest time for which a revoked key may still be accepted.
    pub key_revocation: Duration,
    /// The time between SIGTERM and SIGKILL.
    pub shutdown_grace: Duration,
    /// The longest time for which clients may cache an answer of the directory.
    pub directory_ttl_max: Duration,
    /// The retries allowed, as a fraction of the requests of a service.
    pub retry_ratio: f64,
    /// The sliding window of the retry budget.
    pub retry_window: Duration,
    /// The retries allowed in a window beyond the ratio, over all VMs.
    pub retry_slack: f64,
    /// The tolerated excess over an account's rate, as a fraction of the rate.
    pub quota_overage: f64,
}

/// The fraction of the bound on revoked keys up to which the configuration may be old.
///
/// A request is admitted after it was sent, so any fraction below one keeps the bound; the rest
/// allows for clock drift.
const KEY_AGE_FRACTION: f64 = 0.9;

impl EntryBounds {
    /// Returns the age of the configuration beyond which requests are refused, as a newer one may
    /// have changed where, and for those with a key for whom, a route is served.
    pub fn configuration_age_max(&self, needs_key: bool) -> Duration {
        let key_age_max = self.key_revocation.mul_f64(KEY_AGE_FRACTION);
        match needs_key {
            true => key_age_max.min(self.configuration_deadline),
            false => self.configuration_deadline,
        }
    }
}

/// The validated settings of an entry VM.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The name of the VM.
    pub vm: Name,
    /// Its address, which identifies it to other VMs.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its region.
    pub region: RegionKey,
    /// The availability zones and regions of the deployment.
    pub topology: Topology,
    /// The addresses it listens on.
    pub listeners: EntryListeners,
    /// The VMs to gossip with before others are known.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The memory that the process may use.
    pub memory_max_bytes: u64,
    /// The file descriptors that the process may use.
    pub descriptors_max: u64,
    /// The interval between two heartbeats of an endpoint.
    pub endpoint_heartbeat: Duration,
    /// The bounds that the operators set.
    pub bounds: EntryBounds,
}
