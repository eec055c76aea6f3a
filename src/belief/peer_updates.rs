//! Which newer content a peer holds.

/// What a VM should fetch from a peer, by the peer's digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerUpdates {
    /// The peer has a higher version of the configuration.
    pub has_newer_configuration: bool,
    /// The peer has a listing of a higher version with other content.
    pub has_newer_listing: bool,
}
