//! The identity of a part of a request.

use std::fmt;

use crate::placement::PromptPart;

/// The hash that identifies a part of a request on all VMs: a shared part of its prompt, or the whole
/// request as its fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartHash(pub u64);

impl From<&PromptPart> for PartHash {
    fn from(part: &PromptPart) -> Self {
        Self(part.hash)
    }
}

impl fmt::Display for PartHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
