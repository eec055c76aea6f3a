//! The receivers of draws and the outcomes of their grants.

use super::AccountDraw;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The VM that receives the draws for one region.
#[derive(Clone, Copy, Debug)]
pub struct DrawTarget {
    /// The region.
    pub region: RegionKey,
    /// The home, or a VM that relays a draw to it.
    pub vm: VmKey,
}

/// A draw to send.
#[derive(Clone, Debug)]
pub struct OutgoingDraw {
    /// The receiver.
    pub to: VmKey,
    /// The draw.
    pub draw: AccountDraw,
}

/// What a grant means for waiting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// Tokens arrived.
    Arrived,
    /// The home granted none.
    Empty,
    /// The draw was already abandoned, or the grant has expired.
    Stale,
}
