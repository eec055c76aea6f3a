//! Messages between VMs about change tickets.

use super::BucketVersions;
use super::ObjectHash;
use super::ObjectRecord;
use super::RootDigest;
use super::StoreDigest;
use crate::catalog::TicketNumber;

/// A message between VMs about change tickets; one-way, and it may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationMessage {
    /// The state of the sender in short.
    Summary(Summary),
    /// The digests of all buckets; the receiver answers with the versions of those that differ.
    Buckets(StoreDigest),
    /// All versions in some buckets; the receiver answers with the objects that the sender lacks
    /// and asks for those that it lacks itself.
    Versions(Vec<BucketVersions>),
    /// A request for objects.
    Wanted(Vec<ObjectHash>),
    /// Objects, bounded by [`OBJECTS_MAX_BYTES`] unless there is one only.
    Objects(Vec<ObjectRecord>),
}

/// The state of a VM in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The digest of the whole state.
    pub root: RootDigest,
    /// The highest ticket in force.
    pub ticket: TicketNumber,
    /// Whether the sender has learned the configuration.
    pub phase: SenderPhase,
    /// Whether the receiver is to send its own summary back.
    pub reply: ReplyMode,
}

/// Whether the sender of a summary has learned the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderPhase {
    /// It is still asking others.
    Booting,
    /// It serves requests.
    Ready,
}

/// Whether a summary wants one in return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyMode {
    /// A summary in return is wanted.
    Wanted,
    /// It is a return itself, or no return is needed.
    NotWanted,
}

/// The longest message that holds more than one object, in bytes of their texts.
pub const OBJECTS_MAX_BYTES: usize = 64 * 1024;

/// The most versions in one message that holds more than one bucket.
pub const VERSIONS_MAX: usize = 1_000;

/// The most objects that one message asks for.
pub const WANTED_MAX: usize = 4_000;

impl ConfigurationMessage {
    /// Spreads records over messages of bounded size.
    pub fn objects(records: impl Iterator<Item = ObjectRecord>) -> Vec<Self> {
        let chunks = chunked(records, OBJECTS_MAX_BYTES, ObjectRecord::size_bytes);
        chunks.into_iter().map(Self::Objects).collect()
    }

    /// Spreads versions over messages of bounded size.
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
