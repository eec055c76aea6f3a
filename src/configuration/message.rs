//! Messages between VMs about change tickets.

use super::BucketVersions;
use super::ObjectHash;
use super::ObjectRecord;
use super::RootDigest;
use super::StoreDigest;
use crate::catalog::TicketNumber;

/// A one-way message between VMs about change tickets; it may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationMessage {
    /// A summary of the sender's state.
    Summary(Summary),
    /// The digests of all buckets; the receiver answers with the versions of those that differ.
    Buckets(StoreDigest),
    /// All versions in some buckets; the receiver answers with the objects that the sender lacks
    /// and requests those that it lacks itself.
    Versions(Vec<BucketVersions>),
    /// A request for objects.
    Wanted(Vec<ObjectHash>),
    /// Objects, bounded by [`OBJECTS_MAX_BYTES`] unless there is only one.
    Objects(Vec<ObjectRecord>),
}

/// A summary of a VM's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The digest of the whole state.
    pub root: RootDigest,
    /// The highest ticket in force.
    pub ticket: TicketNumber,
    /// Whether the sender has learned the configuration.
    pub phase: SenderPhase,
    /// Whether the receiver should reply with its own summary.
    pub reply: ReplyMode,
}

/// Whether the sender of a summary has learned the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderPhase {
    /// It is still querying its peers.
    Booting,
    /// It serves requests.
    Ready,
}

/// Whether the sender of a summary wants one in reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMode {
    /// The receiver should reply.
    Wanted,
    /// The summary is a reply itself, or needs none.
    NotWanted,
}

/// The maximum size of a message that holds more than one object, in bytes of
/// [`ObjectRecord::size_bytes`].
pub const OBJECTS_MAX_BYTES: usize = 64 * 1024;

/// The maximum number of versions in a message that holds more than one bucket.
pub const VERSIONS_MAX: usize = 1_000;

/// The maximum number of objects that one message requests.
pub const WANTED_MAX: usize = 4_000;

impl ConfigurationMessage {
    /// Splits records into messages of at most [`OBJECTS_MAX_BYTES`].
    pub fn objects(records: impl Iterator<Item = ObjectRecord>) -> Vec<Self> {
        let chunks = chunked(records, OBJECTS_MAX_BYTES, ObjectRecord::size_bytes);
        chunks.into_iter().map(Self::Objects).collect()
    }

    /// Splits versions into messages of at most [`VERSIONS_MAX`] versions.
    pub fn versions(buckets: impl Iterator<Item = BucketVersions>) -> Vec<Self> {
        let chunks = chunked(buckets, VERSIONS_MAX, |bucket| bucket.versions.len());
        chunks.into_iter().map(Self::Versions).collect()
    }
}

fn chunked<T>(
    items: impl Iterator<Item = T>,
    chunk_max: usize,
    size: impl Fn(&T) -> usize,
) -> Vec<Vec<T>> {
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut last_size = 0;
    for item in items {
        let item_size = size(&item);
        match chunks.last_mut() {
            Some(chunk) if last_size + item_size <= chunk_max => {
                chunk.push(item);
                last_size += item_size;
            }
            _ => {
                chunks.push(vec![item]);
                last_size = item_size;
            }
        }
    }
    chunks
}
