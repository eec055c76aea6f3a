//! The version of the software that an endpoint runs.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;

/// The version of an endpoint's software, as a hash of its name, which may be of any length.
///
/// Versions of one service have no order. What two of them write does not fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SoftwareVersion(u64);

impl SoftwareVersion {
    /// Returns the version with this hash, or `None` for zero, which stands for an unknown version in
    /// messages.
    pub const fn from_hash(hash: u64) -> Option<Self> {
        match hash {
            0 => None,
            hash => Some(Self(hash)),
        }
    }

    /// Returns the hash of the name.
    pub const fn hash(self) -> u64 {
        self.0
    }

    /// Returns the version with this name, or `None` for an empty name, which names no version.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "" => None,
            name => Self::from_hash(xxh3_64(name.as_bytes())),
        }
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
