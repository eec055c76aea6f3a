//! Rendezvous (highest random weight) hashing, after Thaler and Ravishankar (1998).

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::VmKey;

/// Returns the weight of a node for `rendezvous_key`; all VMs compute the same one.
pub fn rendezvous_score(rendezvous_key: u64, node: &Name) -> u64 {
    xxh3_64_with_seed(node.as_str().as_bytes(), rendezvous_key)
}

/// Orders `candidates` by their weight for `rendezvous_key`, highest first.
pub fn rank_vms(
    catalog: &Catalog,
    rendezvous_key: u64,
    candidates: impl Iterator<Item = VmKey>,
) -> Vec<VmKey> {
    let mut ranked: Vec<(u64, VmKey)> = candidates
        .filter_map(|key| {
            let vm = catalog.vms.get(key)?;
            Some((rendezvous_score(rendezvous_key, &vm.name), key))
        })
        .collect();
    ranked.sort_by_key(|(score, _)| std::cmp::Reverse(*score));
    ranked.into_iter().map(|(_, key)| key).collect()
}
