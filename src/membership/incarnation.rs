//! Incarnations of a VM.

/// A number that grows each time the process of a VM starts or resumes after a pause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);
