//! The identity that a VM announces to its peers.

use crate::catalog::Name;
use crate::catalog::VmSpec;

/// The identity that a VM announces to its peers, in the form of a roster entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// The name of the VM.
    pub name: Name,
    /// The addresses, the region and the availability zone.
    pub spec: VmSpec,
}
