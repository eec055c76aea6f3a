//! The status row that a VM publishes by gossip.

use std::net::Ipv4Addr;
use std::num::NonZeroU32;

use xxhash_rust::xxh3::xxh3_64;

use super::VmPhase;
use crate::catalog::Name;
use crate::deployment::ZoneKey;

/// A 32-bit hash that replaces a name in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u32);

impl From<&Name> for NameHash {
    fn from(name: &Name) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// The expected wait for an answer's first event at the least loaded endpoint of a VM's region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceWait {
    /// The service.
    pub service: NameHash,
    /// The expected wait, in milliseconds.
    pub wait_ms: u16,
}

/// The prompts that a VM has sent to an endpoint and that wait for their first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointBacklog {
    /// The instance of the endpoint.
    pub endpoint: NameHash,
    /// The priority of the requests.
    pub priority: u8,
    /// The tokens to prefill.
    pub prefill_tokens: u64,
}

/// The mean numbers of requests at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointLoad {
    /// The instance of the endpoint.
    pub endpoint: NameHash,
    /// The requests of this VM, in hundredths.
    pub local_centi: u32,
    /// The requests of all VMs by the reports of the endpoint, in hundredths; `None` if they say too
    /// little.
    pub total_centi: Option<NonZeroU32>,
}

/// The load of some warm endpoints of a service, the same at all VMs of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// The service.
    pub service: NameHash,
    /// The endpoints.
    pub endpoints: Vec<EndpointLoad>,
}

/// The units of a client account's rate that a VM has admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountUsage {
    /// The client account.
    pub account: NameHash,
    /// All units since the start of the incarnation, less those of requests that did not run.
    pub units: u64,
}

/// The status row that a VM publishes by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRow {
    /// The address, which identifies the VM.
    pub ip: Ipv4Addr,
    /// The availability zone.
    pub zone: ZoneKey,
    /// Identifies the start of the VM's process; later starts have higher numbers.
    pub incarnation: u64,
    /// The sequence number of the row within the incarnation.
    pub beat: u64,
    /// Whether the VM accepts client requests.
    pub phase: VmPhase,
    /// Whether the VM can read the platform's store.
    pub reads_store: bool,
    /// Whether the VM reaches no endpoint of its region.
    pub is_cut_off: bool,
    /// The expected wait for each service in its region.
    pub waits: Vec<ServiceWait>,
    /// The usage of client accounts through this VM.
    pub usage: Vec<AccountUsage>,
    /// What this VM has pending at the endpoints of its region.
    pub backlogs: Vec<EndpointBacklog>,
    /// The load of endpoints of its region.
    pub loads: Vec<ServiceLoad>,
}
