//! What a VM tells about itself.

use std::net::Ipv4Addr;

use xxhash_rust::xxh3::xxh3_64;

use super::VmPhase;
use crate::catalog::Name;
use crate::deployment::ZoneKey;

/// The short hash that stands for a name in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u32);

impl From<&Name> for NameHash {
    fn from(name: &Name) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// The wait for an answer's first event at the least loaded endpoint of a VM's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceWait {
    /// The service.
    pub service: NameHash,
    /// The wait, in milliseconds.
    pub wait_ms: u16,
}

/// What a VM has let an account use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountUsage {
    /// The client account.
    pub account: NameHash,
    /// All units since the start of the incarnation, less those of requests that did not run.
    pub units: u64,
}

/// What a VM tells about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRow {
    /// The address, which names the VM.
    pub ip: Ipv4Addr,
    /// The availability zone.
    pub zone: ZoneKey,
    /// The start that the row is of; later starts have higher numbers.
    pub incarnation: u64,
    /// The number of the row within the incarnation.
    pub beat: u64,
    /// Whether the VM takes clients.
    pub phase: VmPhase,
    /// Whether the platform's store answers it.
    pub reads_store: bool,
    /// How long requests wait in its region.
    pub waits: Vec<ServiceWait>,
    /// What accounts used through it.
    pub usage: Vec<AccountUsage>,
}
