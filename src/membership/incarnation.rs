//! Incarnations of a VM.

/// A number that grows each time the process of a VM starts or comes back from a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
