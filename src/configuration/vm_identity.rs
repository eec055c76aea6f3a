//! What a VM says about itself.

use crate::catalog::Name;
use crate::catalog::VmSpec;

/// What a VM says about itself: its name and the value that the roster would hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmIdentity {
    /// The name.
    pub name: Name,
    /// The addresses and the place.
    pub spec: VmSpec,
}
