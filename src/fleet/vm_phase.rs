//! Whether a VM takes clients.

/// Whether a VM takes clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum VmPhase {
    /// It does not yet know enough to serve.
    #[default]
    Starting,
    /// It takes clients.
    Ready,
    /// It finishes what runs and stops.
    Leaving,
}
