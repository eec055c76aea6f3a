//! The processes of the other VMs, and how they change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use crate::deployment::RegionKey;

/// The process of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// The region of the VM.
    pub region: RegionKey,
    /// The incarnation of its process.
    pub incarnation: u64,
}

/// The processes of the other VMs that a VM knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetMembers {
    vms: BTreeMap<Ipv4Addr, FleetMember>,
}

/// How the processes of VMs changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberChanges {
    /// The VMs that are new or started anew.
    pub joined: BTreeSet<Ipv4Addr>,
    /// The VMs that are gone, with their regions.
    pub lost: BTreeMap<Ipv4Addr, RegionKey>,
}

impl FromIterator<(Ipv4Addr, FleetMember)> for FleetMembers {
    fn from_iter<T: IntoIterator<Item = (Ipv4Addr, FleetMember)>>(vms: T) -> Self {
        Self {
            vms: vms.into_iter().collect(),
        }
    }
}

impl FleetMembers {
    /// Returns the changes since an earlier state.
    pub fn changes_since(&self, before: &Self) -> MemberChanges {
        let joined = self.vms.iter().filter(|(ip, vm)| {
            let earlier = before.vms.get(*ip);
            earlier.is_none_or(|earlier| earlier.incarnation != vm.incarnation)
        });
        let lost = before.vms.iter();
        let lost = lost.filter(|(ip, _)| !self.vms.contains_key(*ip));
        MemberChanges {
            joined: joined.map(|(ip, _)| *ip).collect(),
            lost: lost.map(|(ip, vm)| (*ip, vm.region)).collect(),
        }
    }
}

impl MemberChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.joined.is_empty() && self.lost.is_empty()
    }
}
