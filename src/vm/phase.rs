//! The lifecycle phase of a daemon.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// The lifecycle phase of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[repr(u8)]
pub enum Phase {
    /// The configuration is not known yet; requests are refused.
    Booting,
    /// Requests are served.
    Serving,
    /// Running requests are finished; new ones are refused.
    Draining,
}

/// A phase that threads share.
#[derive(Debug)]
pub struct PhaseCell(AtomicU8);

impl PhaseCell {
    /// Creates a cell that holds `phase`.
    pub const fn new(phase: Phase) -> Self {
        Self(AtomicU8::new(phase as u8))
    }

    /// Returns the current phase.
    pub fn load(&self) -> Phase {
        match self.0.load(Ordering::Acquire) {
            0 => Phase::Booting,
            1 => Phase::Serving,
            _ => Phase::Draining,
        }
    }

    /// Sets the phase.
    pub fn store(&self, phase: Phase) {
        self.0.store(phase as u8, Ordering::Release);
    }
}
