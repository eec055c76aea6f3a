//! Membership messages between VMs.

use std::time::Duration;

use super::Incarnation;
use super::VmSummary;
use crate::catalog::RegionKey;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// A gossip message with heartbeats and region summaries.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipMessage {
    /// The newest heartbeats of VMs of the sender's region, its own first; empty in a message to
    /// another region.
    pub heartbeats: Vec<Heartbeat>,
    /// The sender's newest summaries of regions.
    pub summaries: Vec<RegionSummary>,
}

/// One heartbeat of a VM, ordered by the pair of incarnation and counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The VM.
    pub vm: VmKey,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The number of heartbeats since the incarnation began.
    pub counter: u32,
    /// The status that the VM publishes with the heartbeat.
    pub status: VmStatus,
}

/// The status that a VM publishes with its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VmStatus {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Its running requests relative to its capacity, in thousandths.
    pub load_permille: u32,
    /// The highest configuration ticket that it has in force.
    pub ticket_in_force: TicketNumber,
}

/// The state of all VMs of one region, one byte each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionKey,
    /// The hash of the roster that gives the order of the states.
    pub roster_hash: u64,
    /// The time since the summary was made; never less than that.
    pub age: Duration,
    /// The state of each VM, in the order of the roster's names.
    pub vms: Vec<VmSummary>,
}
