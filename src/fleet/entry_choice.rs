//! Which VMs the directory names to a client.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use super::fleet_view::rendezvous_score;
use crate::deployment::ZoneKey;

/// The least VMs of a zone that get all requests of its clients.
const ZONE_VMS_MIN: usize = 4;

/// The part of the mean number of VMs of a zone that a zone needs to get all requests of its clients.
const ZONE_SHARE_MIN: f64 = 0.75;

/// One VM of other zones is named for this many of the client's zone.
const OWN_PER_OTHER: usize = 3;

/// The most VMs that are named.
const NAMED_MAX: usize = 64;

/// The least VMs of other zones that are named: what is left to a client whose zone fails before it asks again.
const OTHERS_MIN: usize = 2;

/// A VM that accepts requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCandidate {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Whether it reaches no endpoint of its region.
    pub is_cut_off: bool,
}

/// Returns the VMs that a client is told to connect to, of those of a region that are ready; clients choose among
/// them at random.
///
/// A client gets those of its zone that reach endpoints, and a few others that it turns to if its zone fails. It gets all of
/// them if its zone has clearly fewer VMs than others: these would bear as many requests as the VMs of a whole zone.
///
/// The same VMs are named as long as they are ready, since clients leave VMs that are named no more; which of the others are depends
/// on the VM that is `asked`.
pub fn choose_entry_vms(
    ready: &[EntryCandidate],
    client_zone: Option<ZoneKey>,
    asked: Ipv4Addr,
) -> Vec<Ipv4Addr> {
    let is_own = |vm: &EntryCandidate| Some(vm.zone) == client_zone && !vm.is_cut_off;
    let (own, others): (Vec<EntryCandidate>, Vec<EntryCandidate>) =
        ready.iter().copied().partition(is_own);
    let zones: BTreeSet<ZoneKey> = ready.iter().map(|vm| vm.zone).collect();
    let zone_mean = ready.len() as f64 / zones.len().max(1) as f64;
    let is_short = own.len() < ZONE_VMS_MIN || (own.len() as f64) < ZONE_SHARE_MIN * zone_mean;
    if zones.len() < 2 || is_short {
        return ready.iter().map(|vm| vm.ip).collect();
    }
    let other_count = (own.len() / OWN_PER_OTHER).clamp(OTHERS_MIN, NAMED_MAX / OWN_PER_OTHER);
    let mut named = first_by_score(others, other_count, asked);
    let own_count = NAMED_MAX - named.len();
    named.extend(first_by_score(own, own_count, asked));
    named
}

/// Returns so many VMs, by rendezvous with the VM that is asked if there are more.
fn first_by_score(vms: Vec<EntryCandidate>, count: usize, asked: Ipv4Addr) -> Vec<Ipv4Addr> {
    let mut ips: Vec<Ipv4Addr> = vms.into_iter().map(|vm| vm.ip).collect();
    if ips.len() > count {
        ips.sort_by_key(|ip| std::cmp::Reverse(rendezvous_score(u64::from(asked.to_bits()), *ip)));
        ips.truncate(count);
    }
    ips
}
