//! The state of all VMs, as seen by one of them.

use slotmap::SecondaryMap;

use super::Heartbeat;
use super::Incarnation;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;

/// The state of all published VMs, as seen by one of them; an immutable snapshot.
#[derive(Clone, Debug)]
pub struct MembershipView {
    /// The VM that holds this view.
    pub local_vm: VmKey,
    /// The incarnation of the VM that holds this view.
    pub incarnation: Incarnation,
    /// Whether most of the VM's region is alive, as seen by it.
    pub contact: RegionContact,
    /// What is known about each published VM, the holder of the view included.
    pub vms: SecondaryMap<VmKey, VmView>,
}

/// The state of one VM, as seen by the holder of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmView {
    /// Whether its heartbeats arrive.
    pub liveness: Liveness,
    /// Whether it is leaving, by its heartbeat, the published objects or the platform's list.
    pub is_leaving: bool,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The highest configuration ticket that it has in force.
    pub ticket_in_force: TicketNumber,
    /// Its running requests relative to its capacity, in thousandths.
    pub load_permille: u32,
}

/// Whether the heartbeats of a VM arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Liveness {
    /// No heartbeat has arrived yet.
    #[default]
    Unknown,
    /// Heartbeats arrive.
    Alive,
    /// Heartbeats are late.
    Suspected,
    /// Heartbeats have stopped.
    Dead,
}

/// Whether a VM sees most VMs of its region as alive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RegionContact {
    /// More than half of the VMs are alive, itself included.
    Majority,
    /// At most half of the VMs are alive, itself included.
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
    pub(super) const fn from_heartbeat(heartbeat: Heartbeat, liveness: Liveness) -> Self {
        Self {
            liveness,
            is_leaving: heartbeat.status.is_leaving,
            incarnation: heartbeat.incarnation,
            ticket_in_force: heartbeat.status.ticket_in_force,
            load_permille: heartbeat.status.load_permille,
        }
    }

    /// Returns the view of a VM of which no heartbeat is known.
    pub(super) const fn without_heartbeat(liveness: Liveness) -> Self {
        Self {
            liveness,
            is_leaving: false,
            incarnation: Incarnation(0),
            ticket_in_force: TicketNumber(0),
            load_permille: 0,
        }
    }

    /// Returns whether the VM may be given new requests or duties.
    pub fn is_serving(&self) -> bool {
        self.liveness == Liveness::Alive && !self.is_leaving
    }
}
