//! What a peer's digest calls for.

/// What a VM should ask a peer for after it saw its digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdates {
    /// The peer has a newer configuration.
    pub has_newer_configuration: bool,
    /// The peer has a newer listing of other content.
    pub has_newer_listing: bool,
}
