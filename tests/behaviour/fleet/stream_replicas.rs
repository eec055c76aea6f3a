//! Which VMs are told of a stream, and which are asked for it.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use figramp::deployment::RegionKey;
use figramp::fleet::StreamReplicas;
use figramp::streams::StreamKey;
use quickcheck::quickcheck;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::support::ip;

/// Returns VMs by their regions.
fn fleet(regions: &[u8]) -> Vec<(RegionKey, Ipv4Addr)> {
    let vms = (1..=40).zip(regions);
    vms.map(|(number, region)| (RegionKey(u16::from(region % 3)), ip(number)))
        .collect()
}

fn replicas_of(vm: (RegionKey, Ipv4Addr), fleet: &[(RegionKey, Ipv4Addr)]) -> StreamReplicas {
    let others = fleet.iter().filter(|other| **other != vm);
    StreamReplicas::new(vm.0, others.copied())
}

/// Returns the VMs that earlier builds ask in each case: the first of the local region and of the first other one.
fn asked_by_earlier_builds(
    vm: (RegionKey, Ipv4Addr),
    fleet: &[(RegionKey, Ipv4Addr)],
    stream: u64,
) -> Vec<Ipv4Addr> {
    let mut first_by_region: BTreeMap<RegionKey, Ipv4Addr> = BTreeMap::new();
    let mut others: Vec<_> = fleet.iter().filter(|other| **other != vm).collect();
    others.sort_by_key(|(_, ip)| xxh3_64_with_seed(&ip.octets(), stream));
    first_by_region.extend(others.into_iter().copied());
    let local = first_by_region.remove(&vm.0);
    let mut remote: Vec<_> = first_by_region.into_iter().collect();
    remote.sort_by_key(|(region, _)| Reverse(xxh3_64_with_seed(&region.0.to_le_bytes(), stream)));
    local
        .into_iter()
        .chain(remote.first().map(|(_, ip)| *ip))
        .collect()
}

quickcheck! {
    fn as_many_vms_are_told_as_there_are(regions: Vec<u8>, stream: u64, count: usize) -> bool {
        let fleet = fleet(&regions);
        let count = 2 + count % 7;
        fleet.iter().all(|vm| {
            let told = replicas_of(*vm, &fleet).told(StreamKey(stream), count);
            let distinct: BTreeSet<Ipv4Addr> = told.iter().copied().collect();
            let is_distinct = distinct.len() == told.len() && !distinct.contains(&vm.1);
            is_distinct && told.len() == count.min(fleet.len() - 1)
        })
    }

    fn each_vm_of_three_regions_asks_all_that_were_told(regions: Vec<u8>, stream: u64) -> bool {
        let fleet = fleet(&regions);
        let stream = StreamKey(stream);
        fleet.iter().all(|teller| {
            let told = replicas_of(*teller, &fleet).told(stream, 8);
            fleet.iter().all(|asker| {
                let asked = replicas_of(*asker, &fleet).asked(stream);
                told.iter().all(|vm| *vm == asker.1 || asked.contains(vm))
            })
        })
    }

    fn the_vms_that_earlier_builds_ask_are_told(regions: Vec<u8>, stream: u64, count: usize) -> bool {
        let fleet = fleet(&regions);
        let count = 2 + count % 7;
        fleet.iter().all(|vm| {
            let replicas = replicas_of(*vm, &fleet);
            let told = replicas.told(StreamKey(stream), count);
            let asked = asked_by_earlier_builds(*vm, &fleet, stream);
            asked.iter().all(|vm| told.contains(vm))
        })
    }
}
