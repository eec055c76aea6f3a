//! The prefixes that an endpoint probably has in its cache.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

const BUCKET_COUNT: usize = 256;
const BUCKET_SLOTS: usize = 4;
const EMPTY: u64 = 0;

/// A bounded, lock-free, 4-way set-associative set of prefix hashes.
///
/// Inserting into a full bucket replaces one of its hashes. Concurrent writers may lose an insert,
/// which costs at most one cache hit.
#[derive(Debug)]
pub struct PrefixTable {
    slots: Box<[AtomicU64]>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        let slots = (0..BUCKET_COUNT * BUCKET_SLOTS)
            .map(|_| AtomicU64::new(EMPTY))
            .collect();
        Self { slots }
    }
}

impl PrefixTable {
    /// Adds a prefix, evicting another one if its bucket is full.
    pub fn insert(&self, prefix_hash: u64) {
        let bucket = self.bucket(prefix_hash);
        if bucket
            .iter()
            .any(|slot| slot.load(Ordering::Relaxed) == prefix_hash)
        {
            return;
        }
        let free = bucket
            .iter()
            .position(|slot| slot.load(Ordering::Relaxed) == EMPTY);
        let victim = (prefix_hash >> 32) as usize % BUCKET_SLOTS;
        bucket[free.unwrap_or(victim)].store(prefix_hash, Ordering::Relaxed);
    }

    /// Removes a prefix if the set holds it.
    pub fn remove(&self, prefix_hash: u64) {
        for slot in self.bucket(prefix_hash) {
            let _ = slot.compare_exchange(prefix_hash, EMPTY, Ordering::Relaxed, Ordering::Relaxed);
        }
    }

    /// Removes all prefixes.
    pub fn clear(&self) {
        for slot in &self.slots {
            slot.store(EMPTY, Ordering::Relaxed);
        }
    }

    /// Returns whether the set holds a prefix.
    pub fn contains(&self, prefix_hash: u64) -> bool {
        prefix_hash != EMPTY
            && self
                .bucket(prefix_hash)
                .iter()
                .any(|slot| slot.load(Ordering::Relaxed) == prefix_hash)
    }

    /// Returns the number of leading hashes in the set; `prefix_hashes` is shortest first.
    pub fn matching_len(&self, prefix_hashes: &[u64]) -> usize {
        prefix_hashes
            .iter()
            .take_while(|hash| self.contains(**hash))
            .count()
    }

    fn bucket(&self, prefix_hash: u64) -> &[AtomicU64] {
        let start = (prefix_hash as usize % BUCKET_COUNT) * BUCKET_SLOTS;
        &self.slots[start..start + BUCKET_SLOTS]
    }
}
