//! Where draws go and what becomes of them.

use super::AccountDraw;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;

/// The home that a region's VMs can be drawn through.
#[derive(Clone, Copy, Debug)]
pub struct DrawTarget {
    /// The region.
    pub region: RegionKey,
    /// The home, or a VM that passes a draw on to it.
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
    /// The home had none.
    Empty,
    /// The grant was given up before, or is too old.
    Stale,
}
