//! Which VMs the directory names to a client.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;
use rand::Rng;

use crate::deployment::ZoneKey;

/// The least VMs of a zone that get all requests of its clients.
const ZONE_VMS_MIN: usize = 4;

/// The part of the mean number of VMs of a zone that a zone needs to get all requests of its clients.
const ZONE_SHARE_MIN: f64 = 0.75;

/// One VM of other zones is named for this many of the client's zone.
const OWN_PER_OTHER: usize = 6;

/// The least VMs of other zones that are named: what is left to a client whose zone fails before it asks again.
const OTHERS_MIN: usize = 2;

/// A VM that accepts requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryCandidate {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: ZoneKey,
}

/// Returns the VMs that a client is told to connect to, of those of a region that are ready; clients choose among
/// them at random.
///
/// A client gets those of its zone, and a few others that it turns to if its zone fails. It gets all of them if its
/// zone has clearly fewer VMs than others: these would bear as many requests as the VMs of a whole zone.
pub fn choose_entry_vms(
    ready: &[EntryCandidate],
    client_zone: Option<ZoneKey>,
    rng: &mut impl Rng,
) -> Vec<Ipv4Addr> {
    let all = || ready.iter().map(|vm| vm.ip).collect();
    let is_own = |vm: &&EntryCandidate| Some(vm.zone) == client_zone;
    let own: Vec<Ipv4Addr> = ready.iter().filter(is_own).map(|vm| vm.ip).collect();
    let zone_count = ready
        .iter()
        .map(|vm| vm.zone)
        .collect::<BTreeSet<_>>()
        .len();
    let zone_mean = ready.len() as f64 / zone_count.max(1) as f64;
    let is_short = own.len() < ZONE_VMS_MIN || (own.len() as f64) < ZONE_SHARE_MIN * zone_mean;
    if zone_count < 2 || is_short {
        return all();
    }
    let other_count = (own.len() / OWN_PER_OTHER).max(OTHERS_MIN);
    let others = ready.iter().filter(|vm| !is_own(vm)).map(|vm| vm.ip);
    let mut named = others.sample(rng, other_count);
    named.extend(own);
    named
}
