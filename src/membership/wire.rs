//! Cap'n Proto encoding of membership messages.

use std::collections::HashMap;
use std::time::Duration;

use super::name_hash;
use super::Heartbeat;
use super::Incarnation;
use super::MembershipMessage;
use super::RegionSummary;
use super::VmStatus;
use super::VmSummary;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;
use crate::peer::generated::membership_capnp as wire;
use crate::peer::WireError;

impl MembershipMessage {
    /// Writes the message; objects that `catalog` does not have are written with hash 0.
    pub fn write(&self, catalog: &Catalog, mut to: wire::membership_message::Builder<'_>) {
        let mut heartbeats = to.reborrow().init_heartbeats(len(self.heartbeats.len()));
        for (index, heartbeat) in self.heartbeats.iter().enumerate() {
            heartbeat.write(catalog, heartbeats.reborrow().get(len(index)));
        }
        let mut summaries = to.init_summaries(len(self.summaries.len()));
        for (index, summary) in self.summaries.iter().enumerate() {
            summary.write(catalog, summaries.reborrow().get(len(index)));
        }
    }

    /// Reads a message; heartbeats and summaries of objects that this VM does not know are left
    /// out.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if the bytes don't follow the schema.
    pub fn read(
        from: wire::membership_message::Reader<'_>,
        catalog: &Catalog,
    ) -> Result<Self, WireError> {
        let vms = vms_by_hash(catalog);
        let regions = regions_by_hash(catalog);
        let heartbeats = from
            .get_heartbeats()?
            .iter()
            .filter_map(|heartbeat| Heartbeat::read(heartbeat, &vms))
            .collect();
        let mut summaries = Vec::new();
        for summary in from.get_summaries()? {
            summaries.extend(RegionSummary::read(summary, &regions)?);
        }
        Ok(Self {
            heartbeats,
            summaries,
        })
    }
}

impl Heartbeat {
    fn write(&self, catalog: &Catalog, mut to: wire::heartbeat::Builder<'_>) {
        let load_permille = u16::try_from(self.status.load_permille).unwrap_or(u16::MAX);
        to.set_vm(vm_hash(catalog, self.vm));
        to.set_incarnation(self.incarnation.0);
        to.set_counter(self.counter);
        to.set_load_permille(load_permille);
        to.set_is_leaving(self.status.is_leaving);
        to.set_ticket_in_force(self.status.ticket_in_force.0);
    }

    fn read(from: wire::heartbeat::Reader<'_>, vms: &HashMap<u64, VmKey>) -> Option<Self> {
        Some(Self {
            vm: *vms.get(&from.get_vm())?,
            incarnation: Incarnation(from.get_incarnation()),
            counter: from.get_counter(),
            status: VmStatus {
                is_leaving: from.get_is_leaving(),
                load_permille: u32::from(from.get_load_permille()),
                ticket_in_force: TicketNumber(from.get_ticket_in_force()),
            },
        })
    }
}

impl RegionSummary {
    fn write(&self, catalog: &Catalog, mut to: wire::region_summary::Builder<'_>) {
        let region = catalog.regions.get(self.region);
        let bytes: Vec<u8> = self.vms.iter().map(|vm| vm.0).collect();
        to.set_region(region.map_or(0, |region| name_hash(&region.name)));
        to.set_roster_hash(self.roster_hash);
        to.set_age_ms(u32::try_from(self.age.as_millis() + 1).unwrap_or(u32::MAX));
        to.set_vms(&bytes);
    }

    fn read(
        from: wire::region_summary::Reader<'_>,
        regions: &HashMap<u64, RegionKey>,
    ) -> Result<Option<Self>, WireError> {
        let Some(region) = regions.get(&from.get_region()) else {
            return Ok(None);
        };
        Ok(Some(Self {
            region: *region,
            roster_hash: from.get_roster_hash(),
            age: Duration::from_millis(u64::from(from.get_age_ms())),
            vms: from.get_vms()?.iter().copied().map(VmSummary).collect(),
        }))
    }
}

/// Returns the hash that identifies a VM in messages; 0 for one that is not published.
pub fn vm_hash(catalog: &Catalog, vm: VmKey) -> u64 {
    catalog.vms.get(vm).map_or(0, |vm| name_hash(&vm.name))
}

/// Returns the published VMs by the hashes of their names.
pub fn vms_by_hash(catalog: &Catalog) -> HashMap<u64, VmKey> {
    catalog
        .vms
        .iter()
        .map(|(key, vm)| (name_hash(&vm.name), key))
        .collect()
}

fn regions_by_hash(catalog: &Catalog) -> HashMap<u64, RegionKey> {
    catalog
        .regions
        .iter()
        .map(|(key, region)| (name_hash(&region.name), key))
        .collect()
}

fn len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
