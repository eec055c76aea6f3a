//! The merged state of all change tickets.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::roster_overlay::OverlayObjects;
use super::BucketIndex;
use super::BucketVersions;
use super::ObjectHash;
use super::ObjectId;
use super::ObjectKind;
use super::ObjectRecord;
use super::ObjectVersion;
use super::StoreDigest;
use super::BUCKET_COUNT;
use crate::catalog::Catalog;
use crate::catalog::CatalogBuilder;
use crate::catalog::Name;
use crate::catalog::TicketNumber;

/// A map from object to its highest version, tombstones included.
///
/// The merge keeps the higher version of each object. It is commutative, associative and
/// idempotent, so the state does not depend on the order, the path or the number of arrivals of a
/// record, and no object reverts to an earlier version (a state-based CRDT after Shapiro et al.,
/// 2011).
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    buckets: Vec<Bucket>,
    highest: TicketNumber,
}

#[derive(Clone, Debug, Default)]
struct Bucket {
    records: BTreeMap<ObjectId, ObjectRecord>,
    digest: u64,
}

/// The outcome of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record is newer than the stored one and has replaced it.
    Newer,
    /// The same or a newer version was already stored.
    Known,
}

impl Default for ConfigurationStore {
    fn default() -> Self {
        Self {
            buckets: vec![Bucket::default(); BUCKET_COUNT],
            highest: TicketNumber::default(),
        }
    }
}

impl ConfigurationStore {
    /// Merges one record.
    pub fn merge(&mut self, record: ObjectRecord) -> MergeOutcome {
        let index = BucketIndex::of(record.id.hash());
        let bucket = &mut self.buckets[index.as_usize()];
        let stored = bucket.records.get(&record.id);
        if stored.is_some_and(|stored| stored.version >= record.version) {
            return MergeOutcome::Known;
        }
        if let Some(stored) = stored {
            bucket.digest ^= record_digest(stored);
        }
        bucket.digest ^= record_digest(&record);
        self.highest = self.highest.max(record.version.ticket);
        bucket.records.insert(record.id.clone(), record);
        MergeOutcome::Newer
    }

    /// Returns the record of an object.
    pub fn get(&self, id: &ObjectId) -> Option<&ObjectRecord> {
        let index = BucketIndex::of(id.hash());
        self.buckets[index.as_usize()].records.get(id)
    }

    /// Returns whether a record is newer than the stored one.
    pub fn is_newer(&self, record: &ObjectRecord) -> bool {
        self.get(&record.id)
            .is_none_or(|stored| stored.version < record.version)
    }

    /// Returns all records, tombstones included.
    pub fn records(&self) -> impl Iterator<Item = &ObjectRecord> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.records.values())
    }

    /// Returns the highest ticket number of all records; 0 if there are none.
    pub fn highest_ticket(&self) -> TicketNumber {
        self.highest
    }

    /// Returns whether no record is stored.
    pub fn is_empty(&self) -> bool {
        self.highest == TicketNumber::default()
    }

    /// Returns the digest of the whole state; equal states have equal digests.
    pub fn digest(&self) -> StoreDigest {
        StoreDigest {
            buckets: self.buckets.iter().map(|bucket| bucket.digest).collect(),
        }
    }

    /// Returns the versions of all records in one bucket.
    pub fn versions(&self, index: BucketIndex) -> BucketVersions {
        let versions = self.bucket(index).map(|record| ObjectVersion {
            object: record.id.hash(),
            version: record.version,
        });
        BucketVersions {
            index,
            versions: versions.collect(),
        }
    }

    /// Returns the records of one bucket.
    pub fn bucket(&self, index: BucketIndex) -> impl Iterator<Item = &ObjectRecord> {
        self.buckets[index.as_usize()].records.values()
    }

    /// Returns the record of an object by the hash of its identifier.
    pub fn get_by_hash(&self, hash: ObjectHash) -> Option<&ObjectRecord> {
        self.bucket(BucketIndex::of(hash))
            .find(|record| record.id.hash() == hash)
    }

    /// Builds the catalog of all values, keeping the keys of `previous`.
    ///
    /// Also returns the names of the objects that are omitted because of dangling references.
    pub fn build_catalog(&self, previous: &Catalog) -> (Catalog, Vec<Name>) {
        self.build_catalog_with(previous, &OverlayObjects::default())
    }

    /// Builds the catalog of all values and of `overlay`, whose objects replace published ones with
    /// the same identifier.
    pub(super) fn build_catalog_with(
        &self,
        previous: &Catalog,
        overlay: &OverlayObjects,
    ) -> (Catalog, Vec<Name>) {
        let published = self
            .records()
            .filter(|record| !overlay.objects.contains_key(&record.id))
            .filter_map(|record| Some((&record.id.name, record.value.as_deref()?)));
        let added = overlay.objects.iter().map(|(id, spec)| (&id.name, spec));
        let unpublished_vms = overlay
            .objects
            .keys()
            .filter(|id| id.kind == ObjectKind::Vm)
            .map(|id| id.name.clone());
        CatalogBuilder::new(previous)
            .with_unpublished_vms(unpublished_vms)
            .build(self.highest, published.chain(added))
    }
}

fn record_digest(record: &ObjectRecord) -> u64 {
    let words = [
        record.id.hash().0,
        record.version.ticket.0,
        record.version.content.0,
    ];
    let mut bytes = [0; 24];
    for (chunk, word) in bytes.chunks_exact_mut(8).zip(words) {
        chunk.copy_from_slice(&word.to_le_bytes());
    }
    xxh3_64(&bytes)
}
