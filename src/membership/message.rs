//! Messages between VMs about heartbeats.

use std::time::Duration;

use super::Incarnation;
use super::VmSummary;
use crate::catalog::RegionKey;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// A message between VMs about heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipMessage {
    /// The newest heartbeats that the sender knows of VMs of its region, its own one first.
    pub heartbeats: Vec<Heartbeat>,
    /// What the sender knows of regions, its own one included.
    pub summaries: Vec<RegionSummary>,
}

/// One heartbeat of a VM; the pair of incarnation and counter only grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The VM.
    pub vm: VmKey,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The number of heartbeats since the incarnation began.
    pub counter: u32,
    /// What the VM says about itself.
    pub status: VmStatus,
}

/// What a VM says about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmStatus {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Its running requests over its capacity, in thousandths.
    pub load_permille: u32,
    /// The highest ticket that it has in force.
    pub ticket_in_force: TicketNumber,
}

/// The state of all VMs of one region, in short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionKey,
    /// The hash of the roster that the states follow.
    pub roster_hash: u64,
    /// The time since the summary was made, and more rather than less.
    pub age: Duration,
    /// The state of each VM, in the order of the roster's names.
    pub vms: Vec<VmSummary>,
}
