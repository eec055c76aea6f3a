//! The published VMs of one region.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::Xxh3Default;

use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The published VMs of one region, in the order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roster {
    /// The VMs.
    pub vms: Vec<VmKey>,
    /// The hash of the names; equal on all VMs that have the same roster in force.
    pub hash: u64,
}

impl Roster {
    /// Reads the roster of `region` from the published objects.
    pub fn of_region(catalog: &Catalog, region: RegionKey) -> Self {
        let mut vms: Vec<VmKey> = catalog.published_vms_in(region).collect();
        vms.sort_by(|a, b| catalog.vms[*a].name.cmp(&catalog.vms[*b].name));
        let mut hasher = Xxh3Default::new();
        for vm in &vms {
            hasher.update(catalog.vms[*vm].name.as_str().as_bytes());
            hasher.update(b"\n");
        }
        Self {
            vms,
            hash: hasher.digest(),
        }
    }

    /// Returns the size of a quorum: any two groups of this size share a VM.
    pub fn majority(&self) -> usize {
        self.vms.len() / 2 + 1
    }
}

/// Returns the hash that replaces a name in messages between VMs.
pub fn name_hash(name: &Name) -> u64 {
    xxh3_64(name.as_str().as_bytes())
}
