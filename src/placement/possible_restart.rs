//! Whether an endpoint may have started again without the store saying so yet.

use std::time::Duration;

use super::ProcessSighting;
use crate::clock::Monotonic;

/// How long the listing must have been confirmed without a gap after a process ended, until its record has
/// lapsed or lists the next start: three heartbeats, a read and a round of gossip.
const RECORD_LAPSE_TIME: Duration = Duration::from_millis(5_000);

/// How much newer a reported end must be than a known one to be another one: what other VMs observed is dated
/// later by its time in transit.
const END_LEAD: Duration = Duration::from_millis(500);

/// The end of a process, as it was observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When it was observed last.
    pub at: Monotonic,
    /// Whether a connection was refused; a connection that was lost may mean less.
    pub is_certain: bool,
}

/// Whether an endpoint may have started again under its identifier since its record was written.
///
/// A connection that is refused, or that the endpoint closes unannounced, shows that its process may have
/// ended. The next one is cold, but until the store lists its start, it passes for the one that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PossibleRestart {
    end: Option<ProcessEnd>,
    /// When a process was first seen after the last end.
    returned_at: Option<Monotonic>,
}

impl PossibleRestart {
    /// Returns the last end, until a process was seen after it.
    pub(super) const fn end(&self) -> Option<ProcessEnd> {
        self.end
    }

    /// Returns when a process was first seen after the last end; `None` if it wasn't.
    pub(super) fn returned_at(&self) -> Option<Monotonic> {
        self.returned_at.filter(|_| self.end.is_none())
    }

    /// Records that the process may have ended; returns whether it did not count as ended.
    pub(super) fn on_ended(&mut self, end: ProcessEnd) -> bool {
        let before = self.end.replace(end);
        if let (Some(end), Some(before)) = (&mut self.end, before) {
            end.at = end.at.max(before.at);
            end.is_certain |= before.is_certain;
        }
        before.is_none()
    }

    /// Records an end that another VM observed, and when a process was seen after it; returns whether the
    /// endpoint did not count as ended.
    pub(super) fn on_reported(
        &mut self,
        reported: ProcessEnd,
        returned_at: Option<Monotonic>,
    ) -> bool {
        let known_at = self.end.map(|end| end.at).max(self.returned_at());
        let is_new = known_at.is_none_or(|known_at| reported.at > known_at + END_LEAD);
        match &mut self.end {
            _ if is_new => {
                self.returned_at = returned_at;
                self.end = Some(reported).filter(|_| returned_at.is_none());
            }
            Some(end) if reported.at + END_LEAD >= end.at => {
                end.is_certain |= reported.is_certain;
                if returned_at.is_some() {
                    self.returned_at = returned_at;
                    self.end = None;
                }
            }
            _ => {}
        }
        is_new
    }

    /// Records that a process answered over a connection that was opened at `opened_at`; returns whether it
    /// is a process that was not seen before.
    pub(super) fn on_answered(&mut self, opened_at: Monotonic) -> bool {
        let is_new = self.end.is_some_and(|end| opened_at > end.at);
        if is_new {
            self.end = None;
            self.returned_at = Some(opened_at);
        }
        is_new
    }

    /// Takes back an end that is not certain, if one process answered before and after it; returns whether it
    /// did.
    pub(super) fn on_sighting(&mut self, sighting: ProcessSighting) -> bool {
        let is_refuted = self
            .end
            .is_some_and(|end| !end.is_certain && sighting.covers(end.at));
        if is_refuted {
            self.end = None;
        }
        is_refuted
    }

    /// Takes back an end that is not certain and was observed at this time.
    pub(super) fn on_refuted(&mut self, at: Monotonic) -> bool {
        let is_refuted = self.end.is_some_and(|end| !end.is_certain && end.at == at);
        if is_refuted {
            self.end = None;
        }
        is_refuted
    }

    /// Forgets ends after which the listing was confirmed for long enough without a gap.
    pub(super) fn on_listing_confirmed(&mut self, since: Monotonic, confirmed_at: Monotonic) {
        let is_over = |at: Monotonic| confirmed_at >= at.max(since) + RECORD_LAPSE_TIME;
        if self.end.is_some_and(|end| is_over(end.at)) {
            self.end = None;
        }
        if self.returned_at.is_some_and(is_over) {
            self.returned_at = None;
        }
    }

    /// Returns until when the endpoint may be cold for that reason, if its service is cold for
    /// `cold_start` after a start.
    pub(super) fn cold_until(&self, cold_start: Duration) -> Option<Monotonic> {
        if cold_start.is_zero() {
            return None;
        }
        match self.end {
            Some(_) => Some(Monotonic::from_us(u64::MAX)),
            None => self.returned_at.map(|at| at + cold_start),
        }
    }
}
