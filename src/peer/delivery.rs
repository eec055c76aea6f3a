//! Whether a forwarded call has left this VM.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::errors::RunState;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// Whether a forwarded call has left this VM; decided once, by the side that comes first.
#[derive(Debug, Default)]
pub(super) struct Delivery(AtomicU8);

impl Delivery {
    /// Claims the right to send; `false` means that the call was given up and must not be sent.
    pub(super) fn claim_send(&self) -> bool {
        self.settle(SENT)
    }

    /// Gives the call up and tells whether it may run all the same.
    pub(super) fn abandon(&self) -> RunState {
        if self.settle(ABANDONED) || self.0.load(Ordering::SeqCst) == ABANDONED {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }

    fn settle(&self, state: u8) -> bool {
        self.0
            .compare_exchange(QUEUED, state, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }
}
