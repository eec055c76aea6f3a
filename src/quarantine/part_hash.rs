//! The identity of a part of a request.

use std::fmt;

use crate::placement::PromptPart;

/// The hash that identifies a part of a request on all VMs: a shared part of its prompt, or the whole
/// request as its fingerprint.
///
/// The highest bit tells fingerprints from prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartHash(pub u64);

/// The bit that is set in fingerprints only.
const FINGERPRINT_BIT: u64 = 1 << 63;

impl PartHash {
    /// Creates a fingerprint from the hash of a request.
    pub(super) const fn of_request(hash: u64) -> Self {
        Self(hash | FINGERPRINT_BIT)
    }

    /// Returns whether this is the fingerprint of a request.
    pub const fn is_fingerprint(self) -> bool {
        self.0 & FINGERPRINT_BIT != 0
    }
}

impl From<&PromptPart> for PartHash {
    fn from(part: &PromptPart) -> Self {
        Self(part.hash & !FINGERPRINT_BIT)
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
