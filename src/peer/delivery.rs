//! Whether a forwarded call has been sent or abandoned.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use crate::errors::RunState;

const QUEUED: u8 = 0;
const SENT: u8 = 1;
const ABANDONED: u8 = 2;

/// Whether a forwarded call has been sent or abandoned; the first of the two to happen is final.
#[derive(Debug, Default)]
pub(super) struct Delivery(AtomicU8);

impl Delivery {
    /// Claims the right to send; `false` means that the call was abandoned and must not be sent.
    pub(super) fn claim_send(&self) -> bool {
        self.try_set(SENT)
    }

    /// Abandons the call and returns whether it may run nevertheless.
    pub(super) fn abandon(&self) -> RunState {
        if self.try_set(ABANDONED) || self.0.load(Ordering::SeqCst) == ABANDONED {
            RunState::NotRun
        } else {
            RunState::MayHaveRun
        }
    }

    fn try_set(&self, state: u8) -> bool {
        self.0
            .compare_exchange(QUEUED, state, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }
}
