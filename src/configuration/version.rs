//! Versions of published objects.

use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::TicketNumber;

/// A 64-bit hash of an object's value; the hash of a tombstone is higher than all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentHash(pub u64);

/// The version of an object: the ticket that set it, then the hash of its value.
///
/// The order is total: if two tickets with the same number set the same object, every VM keeps the
/// same one. A tombstone wins over a value with the same ticket number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The ticket.
    pub ticket: TicketNumber,
    /// The hash of the value.
    pub content: ContentHash,
}

impl ContentHash {
    /// The hash of a tombstone.
    pub const TOMBSTONE: Self = Self(u64::MAX);

    /// Computes the hash of a value's canonical text.
    pub fn of_text(text: &[u8]) -> Self {
        Self(xxh3_64(text).min(u64::MAX - 1))
    }
}
