//! Whether a VM accepts client requests.

/// Whether a VM accepts client requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum VmPhase {
    /// It still lacks a configuration or a listing of endpoints.
    #[default]
    Starting,
    /// It accepts client requests.
    Ready,
    /// It finishes its running requests and then stops.
    Leaving,
}
