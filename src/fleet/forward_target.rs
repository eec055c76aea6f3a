//! The VM to which a request is forwarded.

use std::net::Ipv4Addr;

use rand::seq::IndexedRandom;
use rand::Rng;

use super::fleet_view::rendezvous_score;
use super::FleetView;
use super::NameHash;
use super::VmPhase;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;

/// The number of VMs of a region to which a VM forwards, by rendezvous, if its own region has as many VMs (subsetting,
/// Beyer and others, Site Reliability Engineering, 2016, chapter 20). The VMs of a smaller region forward to more.
///
/// It answers few forwards of each VM to many others: one to a VM that it seldom uses first has to open a connection,
/// which takes a round trip between regions.
const SUBSET_SIZE: usize = 4;

impl FleetView {
    /// Returns a live VM of a region that reaches endpoints, in the local region also of the service, to forward
    /// requests to, and the average round-trip time to it in milliseconds, if it was measured.
    ///
    /// It is drawn from the few of them that this VM uses.
    pub fn forward_target(
        &self,
        now: Monotonic,
        region: RegionKey,
        service: NameHash,
        tried: &[Ipv4Addr],
        rng: &mut impl Rng,
    ) -> Option<(Ipv4Addr, Option<f64>)> {
        let is_local = region == self.local_region();
        let ready = self.others.values().filter(|vm| {
            let reaches_service = vm.row.waits.iter().any(|wait| wait.service == service);
            vm.is_alive(now)
                && vm.row.phase == VmPhase::Ready
                && !vm.row.is_cut_off
                && self.region(&vm.row) == region
                && (!is_local || reaches_service)
                && !tried.contains(&vm.row.ip)
        });
        let sender = u64::from(u32::from(self.local_row.ip));
        let scored = ready.map(|vm| (rendezvous_score(sender, vm.row.ip), vm));
        let mut subset: Vec<_> = scored.collect();
        let senders = self.alive_in(now, true).count() + 1;
        let size = SUBSET_SIZE * subset.len().div_ceil(senders);
        if subset.len() > size {
            subset.select_nth_unstable_by_key(size, |(score, _)| std::cmp::Reverse(*score));
            subset.truncate(size);
        }
        let (_, vm) = subset.choose(rng)?;
        Some((vm.row.ip, vm.round_trip_ms))
    }
}
