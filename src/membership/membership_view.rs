//! What one VM knows about the others.

use slotmap::SecondaryMap;

use super::Heartbeat;
use super::Incarnation;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// What one VM knows about the others; a snapshot on the blackboard.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The VM that holds this view.
    pub own: VmKey,
    /// The incarnation of the VM that holds this view.
    pub incarnation: Incarnation,
    /// Whether the VM is in contact with most of its region.
    pub contact: RegionContact,
    /// What is known about each VM of the roster, the own one included.
    pub vms: SecondaryMap<VmKey, VmView>,
}

/// What one VM knows about another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Whether its heartbeats arrive.
    pub liveness: Liveness,
    /// Whether it has said that it is leaving.
    pub is_leaving: bool,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The highest ticket that it has in force.
    pub ticket_in_force: TicketNumber,
    /// Its running requests over its capacity, in thousandths.
    pub load_permille: u32,
}

/// Whether the heartbeats of a VM arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// Nothing was heard yet.
    #[default]
    Unknown,
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are late.
    Suspected,
    /// Heartbeats have stopped.
    Dead,
}

/// Whether a VM is in contact with most VMs of its region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RegionContact {
    /// In contact with most of them.
    Majority,
    /// Out of contact with half of them or more.
    #[default]
    Minority,
}

impl MembershipView {
    /// Returns the live VMs of `region` that are not leaving, in no particular order.
    pub fn serving_in<'a>(
        &'a self,
        catalog: &'a Catalog,
        region: RegionKey,
    ) -> impl Iterator<Item = VmKey> + 'a {
        catalog
            .vms_in(region)
            .filter(|vm| self.vms.get(*vm).is_some_and(VmView::is_serving))
    }
}

impl VmView {
    /// Returns the view of a VM whose latest heartbeat is known.
    pub(super) const fn heard(heartbeat: Heartbeat, liveness: Liveness) -> Self {
        Self {
            liveness,
            is_leaving: heartbeat.status.is_leaving,
            incarnation: heartbeat.incarnation,
            ticket_in_force: heartbeat.status.ticket_in_force,
            load_permille: heartbeat.status.load_permille,
        }
    }

    /// Returns the view of a VM of which no heartbeat is known.
    pub(super) const fn unheard(liveness: Liveness) -> Self {
        Self {
            liveness,
            is_leaving: false,
            incarnation: Incarnation(0),
            ticket_in_force: TicketNumber(0),
            load_permille: 0,
        }
    }

    /// Tells whether the VM may be given new work.
    pub fn is_serving(&self) -> bool {
        self.liveness == Liveness::Alive && !self.is_leaving
    }
}
