//! Whether an endpoint may have started again without the store saying so yet.

use std::time::Duration;

use super::ProcessSighting;
use crate::clock::Monotonic;

/// How long the listing must have been confirmed without a gap after a process ended, until its record has
/// lapsed or lists the next start: three heartbeats, a read and a round of gossip.
const RECORD_LAPSE_TIME: Duration = Duration::from_millis(5_000);

/// How much newer a reported end must be than a known one to be another one: VMs observe the same end at
/// different times, as they may stand still.
const END_LEAD: Duration = Duration::from_millis(500);

/// The same for a refused connection without a return: an endpoint may fall over as soon as it is back.
const REFUSED_LEAD: Duration = Duration::from_millis(100);

/// The end of a process, as it was observed, and the return of the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// When the end was observed last.
    pub at: Monotonic,
    /// Whether a connection was refused; a connection that was lost may mean less.
    pub is_certain: bool,
    /// When a process was first seen after it; `None` if it wasn't.
    pub returned_at: Option<Monotonic>,
}

impl ProcessEnd {
    /// Returns the time of the last thing that is known.
    pub(super) fn last_at(&self) -> Monotonic {
        self.returned_at.map_or(self.at, |at| at.max(self.at))
    }
}

/// Whether an endpoint may have started again under its identifier since its record was written.
///
/// A connection that is refused, or that the endpoint closes unannounced, shows that its process may have
/// ended. The next one is cold, but until the store lists its start, it passes for the one that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PossibleRestart {
    end: Option<ProcessEnd>,
    /// When the process that was seen last may have started.
    started_at: Option<Monotonic>,
}

impl PossibleRestart {
    /// Returns the last end that is not refuted.
    pub(super) const fn end(&self) -> Option<ProcessEnd> {
        self.end
    }

    /// Returns whether no process was seen since the last end.
    pub(super) fn is_ended(&self) -> bool {
        self.end.is_some_and(|end| end.returned_at.is_none())
    }

    /// Records that the process may have ended; returns whether it did not count as ended.
    pub(super) fn on_ended(&mut self, at: Monotonic, is_certain: bool) -> bool {
        let is_new = !self.is_ended();
        let before = self.end.filter(|_| !is_new);
        if let Some(returned_at) = self.end.and_then(|end| end.returned_at) {
            self.started_at = self.started_at.max(Some(returned_at));
        }
        self.end = Some(ProcessEnd {
            at: before.map_or(at, |before| before.at.max(at)),
            is_certain: is_certain || before.is_some_and(|before| before.is_certain),
            returned_at: None,
        });
        is_new
    }

    /// Records an end that another VM observed; returns whether it was not known.
    pub(super) fn on_reported(&mut self, reported: ProcessEnd) -> bool {
        let Some(known) = &mut self.end else {
            self.end = Some(reported);
            return true;
        };
        let lead = match reported.is_certain && reported.returned_at.is_none() {
            true => REFUSED_LEAD,
            false => END_LEAD,
        };
        if reported.at > known.last_at() + lead {
            let is_new = self.on_ended(reported.at, reported.is_certain);
            self.set_returned(reported.returned_at);
            return is_new;
        }
        let is_same = reported.at + END_LEAD >= known.at;
        if is_same && known.returned_at.is_none() {
            known.is_certain |= reported.is_certain;
            let returned_at = reported.returned_at.filter(|at| *at >= known.at);
            self.set_returned(returned_at);
        }
        false
    }

    /// Records that a process answered over a connection that was opened at `opened_at`; returns whether it
    /// was not seen before.
    pub(super) fn on_answered(&mut self, opened_at: Monotonic) -> bool {
        let end = self.end.filter(|end| end.returned_at.is_none());
        let is_new = end.is_some_and(|end| opened_at > end.at);
        if is_new {
            self.set_returned(Some(opened_at));
        }
        is_new
    }

    /// Takes back an end that is not certain, if one process answered before and after it; returns whether it
    /// did.
    ///
    /// The end may have been observed late, so that the process is the one that was started after it.
    pub(super) fn on_sighting(&mut self, sighting: ProcessSighting) -> bool {
        let end = self.end.filter(|end| !end.is_certain);
        let is_refuted = end.is_some_and(|end| sighting.covers(end.at));
        if is_refuted {
            self.end = None;
            self.started_at = self.started_at.max(Some(sighting.since));
        }
        is_refuted
    }

    /// Takes back an end that is not certain and was observed at this time.
    pub(super) fn on_refuted(&mut self, at: Monotonic) {
        self.end = self.end.filter(|end| end.is_certain || end.at != at);
    }

    /// Forgets ends after which the listing was confirmed for long enough without a gap.
    pub(super) fn on_listing_confirmed(&mut self, since: Monotonic, confirmed_at: Monotonic) {
        let is_over = |at: Monotonic| confirmed_at >= at.max(since) + RECORD_LAPSE_TIME;
        self.end = self.end.filter(|end| !is_over(end.last_at()));
    }

    /// Returns until when the endpoint may be cold for that reason, if its service is cold for
    /// `cold_start` after a start.
    pub(super) fn cold_until(&self, cold_start: Duration) -> Option<Monotonic> {
        if cold_start.is_zero() {
            return None;
        }
        if self.is_ended() {
            return Some(Monotonic::from_us(u64::MAX));
        }
        let returned_at = self.end.and_then(|end| end.returned_at);
        returned_at.max(self.started_at).map(|at| at + cold_start)
    }

    fn set_returned(&mut self, returned_at: Option<Monotonic>) {
        if let Some(end) = &mut self.end {
            end.returned_at = end.returned_at.or(returned_at);
        }
    }
}
