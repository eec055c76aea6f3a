//! Entry VMs of the published roster.

use std::net::SocketAddr;

use super::AvailabilityZoneKey;
use super::Name;
use super::RegionKey;
use super::ServiceState;

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vm {
    /// The name.
    pub name: Name,
    /// The region that the VM runs in.
    pub region: RegionKey,
    /// The availability zone that the VM runs in.
    pub availability_zone: AvailabilityZoneKey,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for other VMs.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// Whether the VM takes new work.
    pub state: ServiceState,
    /// Whether the VM is in the published roster; other VMs are known from the settings or
    /// introduced themselves, and take no part in leases and records.
    pub is_published: bool,
}
