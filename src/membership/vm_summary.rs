//! The state of a VM in one byte.

use super::Liveness;
use super::VmView;

const LIVENESS_SHIFT: u8 = 6;
const LEAVING_BIT: u8 = 1 << 5;
const LOAD_MASK: u8 = LEAVING_BIT - 1;
const LOAD_STEP_PERMILLE: u32 = 50;

/// The state of a VM in one byte: two bits of liveness, one for leaving and five for the load in
/// steps of 50 thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmSummary(pub u8);

impl VmSummary {
    /// Returns the liveness of the VM as seen in its region.
    pub fn liveness(self) -> Liveness {
        match self.0 >> LIVENESS_SHIFT {
            0 => Liveness::Unknown,
            1 => Liveness::Alive,
            2 => Liveness::Suspected,
            _ => Liveness::Dead,
        }
    }

    /// Returns whether the VM is leaving.
    pub fn is_leaving(self) -> bool {
        self.0 & LEAVING_BIT != 0
    }

    /// Returns the load in thousandths of the capacity.
    pub fn load_permille(self) -> u32 {
        u32::from(self.0 & LOAD_MASK) * LOAD_STEP_PERMILLE
    }
}

impl From<&VmView> for VmSummary {
    fn from(view: &VmView) -> Self {
        let liveness: u8 = match view.liveness {
            Liveness::Unknown => 0,
            Liveness::Alive => 1,
            Liveness::Suspected => 2,
            Liveness::Dead => 3,
        };
        let leaving = if view.is_leaving { LEAVING_BIT } else { 0 };
        let steps = view.load_permille.div_ceil(LOAD_STEP_PERMILLE);
        let load = u8::try_from(steps).unwrap_or(LOAD_MASK).min(LOAD_MASK);
        Self(liveness << LIVENESS_SHIFT | leaving | load)
    }
}
