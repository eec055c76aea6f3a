//! The ticket numbers that a VM has read from the service.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::catalog::TicketNumber;
use crate::clock::Monotonic;

const GAP_LIFETIME: Duration = Duration::from_secs(60);
const AHEAD_MAX: usize = 4_096;
const REREAD_TICKETS: u64 = 64;

/// The ticket numbers that a VM has read from the service.
///
/// The service may return tickets out of order, so a missing number is read again for
/// [`GAP_LIFETIME`] before it counts as never used.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceCursor {
    contiguous: u64,
    ahead: BTreeSet<u64>,
    gap_since: Option<Monotonic>,
}

impl ServiceCursor {
    pub(super) fn observe(&mut self, now: Monotonic, numbers: impl Iterator<Item = TicketNumber>) {
        let is_first = self.highest() == TicketNumber::default();
        self.ahead.extend(
            numbers
                .map(|number| number.0)
                .filter(|n| *n > self.contiguous),
        );
        if is_first {
            self.skip_to_first();
        }
        self.advance();
        self.update_gap(now);
    }

    /// Returns the highest ticket read.
    pub(super) fn highest(&self) -> TicketNumber {
        let ahead = self.ahead.last().copied().unwrap_or_default();
        TicketNumber(ahead.max(self.contiguous))
    }

    /// Returns the ticket after which to read again, so that tickets that appear late are found.
    pub(super) fn reread_after(&self) -> TicketNumber {
        let window_start = self.highest().0.saturating_sub(REREAD_TICKETS);
        TicketNumber(window_start.min(self.contiguous))
    }

    pub(super) fn has_gap(&self) -> bool {
        !self.ahead.is_empty()
    }

    /// Skips missing numbers after [`GAP_LIFETIME`], or when more than [`AHEAD_MAX`] tickets follow
    /// a gap.
    pub(super) fn expire_gaps(&mut self, now: Monotonic) {
        let is_old = self
            .gap_since
            .is_some_and(|since| now.since(since) >= GAP_LIFETIME);
        if is_old || self.ahead.len() > AHEAD_MAX {
            self.contiguous = self.highest().0;
            self.ahead.clear();
            self.gap_since = None;
        }
    }

    fn skip_to_first(&mut self) {
        if let Some(first) = self.ahead.first() {
            self.contiguous = first - 1;
        }
    }

    fn advance(&mut self) {
        while self.ahead.first() == Some(&(self.contiguous + 1)) {
            self.ahead.pop_first();
            self.contiguous += 1;
        }
    }

    fn update_gap(&mut self, now: Monotonic) {
        if self.ahead.is_empty() {
            self.gap_since = None;
        } else if self.gap_since.is_none() {
            self.gap_since = Some(now);
        }
    }
}
