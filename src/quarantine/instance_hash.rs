//! The identity of an endpoint instance.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::deployment::InstanceId;

/// The hash that identifies an endpoint instance on all VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceHash(pub u32);

impl From<&InstanceId> for InstanceHash {
    fn from(instance: &InstanceId) -> Self {
        let id = instance.id.as_str().as_bytes();
        Self(xxh3_64_with_seed(id, instance.started_unix_ms) as u32)
    }
}
