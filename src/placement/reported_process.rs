//! What processes of endpoints have reported of their starts.

use std::time::Duration;

use super::EndpointKey;
use super::EndpointTable;
use crate::clock::Monotonic;

/// The time for which an endpoint that reported no start is not asked again.
const ASK_PAUSE: Duration = Duration::from_millis(1_000);

/// What is known of the process of an endpoint's record by its reports, each of which names its start.
///
/// Processes at one address follow each other. A connection that was opened before the process was last seen
/// therefore leads to it, or to one that had ended by then and gives no answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ReportedProcess {
    /// When a request was sent last that the process answered.
    seen_at: Option<Monotonic>,
    /// Whether a process that started later has reported itself.
    is_replaced: bool,
    /// Until when the endpoint is not asked for a report.
    unasked_until: Option<Monotonic>,
}

impl ReportedProcess {
    /// Returns whether another process has taken its place.
    pub(super) const fn is_replaced(self) -> bool {
        self.is_replaced
    }

    /// Returns whether the endpoint may be asked for a report.
    pub(super) fn is_askable(self, now: Monotonic) -> bool {
        !self.is_replaced && self.unasked_until.is_none_or(|until| now >= until)
    }

    /// Returns whether a connection that was opened at this time leads to it, if to any.
    fn is_reached_by(self, opened_at: Monotonic) -> bool {
        !self.is_replaced && self.seen_at.is_some_and(|seen_at| opened_at <= seen_at)
    }

    /// Records an answer to a request that was sent at `sent_at`, over a connection that was opened at
    /// `opened_at`.
    pub(super) fn on_answered(&mut self, opened_at: Monotonic, sent_at: Monotonic) {
        if self.is_reached_by(opened_at) {
            self.seen_at = self.seen_at.max(Some(sent_at));
        }
    }
}

impl EndpointTable {
    /// Returns whether a connection to an endpoint that was opened at this time leads to the process of its
    /// record, if to any.
    pub fn is_reached_by(&self, key: EndpointKey, opened_at: Monotonic) -> bool {
        let state = self.endpoints.get(key);
        state.is_some_and(|state| state.reported.is_reached_by(opened_at))
    }

    /// Records what an endpoint reported when it was asked at `asked_at`: when its process started, in Unix
    /// milliseconds; `None` if it didn't say.
    pub fn on_report(
        &mut self,
        key: EndpointKey,
        asked_at: Monotonic,
        started_unix_ms: Option<u64>,
    ) {
        let Some(state) = self.endpoints.get_mut(key) else {
            return;
        };
        let recorded_unix_ms = state.record.instance.started_unix_ms;
        let reported = &mut state.reported;
        match started_unix_ms {
            None => reported.unasked_until = Some(asked_at + ASK_PAUSE),
            Some(started) if started == recorded_unix_ms => {
                reported.seen_at = reported.seen_at.max(Some(asked_at));
            }
            Some(started) => reported.is_replaced |= started > recorded_unix_ms,
        }
    }
}
