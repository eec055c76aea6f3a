//! The expected wait of requests at an endpoint, by priority.

use std::collections::VecDeque;
use std::time::Duration;

use super::Ewma;
use crate::clock::Monotonic;

/// The weight of one answer in the mean wait: about the last five count.
const ANSWER_WEIGHT: f64 = 0.2;

/// The half-life of the excess of the mean wait over [`WAIT_UNKNOWN_MS`] without answers.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The wait that is assumed before the first answer of an endpoint, in milliseconds.
const WAIT_UNKNOWN_MS: f64 = 30.0;

/// The number of priorities with an estimate of their own; all lower priorities share the last one.
const PRIORITIES: usize = 10;

#[derive(Clone, Debug, Default)]
struct PriorityWait {
    mean_ms: Ewma,
    answered_at: Monotonic,
    pending: VecDeque<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent_at: Monotonic,
    prefill_ms: f64,
}

impl PriorityWait {
    /// Returns the mean, with its excess over [`WAIT_UNKNOWN_MS`] reduced by its age.
    fn decayed_ms(&self, now: Monotonic) -> Option<f64> {
        let mean_ms = self.mean_ms.mean()?;
        let age = now.since(self.answered_at).as_secs_f64();
        let above_ms = (mean_ms - WAIT_UNKNOWN_MS).max(0.0);
        let decayed_ms = above_ms * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        Some(mean_ms.min(WAIT_UNKNOWN_MS) + decayed_ms)
    }

    /// Returns the mean, or for how long the oldest request has waited if that is longer, as far as they are younger than
    /// `since`; `None` without either.
    fn wait_ms(&self, now: Monotonic, since: Option<Monotonic>) -> Option<f64> {
        let is_young = |at: Monotonic| since.is_none_or(|since| at >= since);
        let mean_ms = self.decayed_ms(now).filter(|_| is_young(self.answered_at));
        let oldest = self.pending.front();
        let oldest = oldest.filter(|pending| is_young(pending.sent_at));
        let oldest_ms = oldest
            .map(|pending| now.since(pending.sent_at).as_secs_f64() * 1_000.0 - pending.prefill_ms);
        match (mean_ms, oldest_ms) {
            (Some(mean_ms), Some(oldest_ms)) => Some(mean_ms.max(oldest_ms)),
            (None, Some(oldest_ms)) => Some(oldest_ms.max(WAIT_UNKNOWN_MS)),
            (mean_ms, None) => mean_ms,
        }
    }

    /// Returns when the last request was answered; `None` if none was.
    fn last_answer(&self) -> Option<Monotonic> {
        self.mean_ms.mean().map(|_| self.answered_at)
    }
}

/// The expected time from sending a request to its first event, without its own prefill.
///
/// Engines admit by priority, so each priority has its own estimate. A request that has been
/// waiting for longer than the mean raises the estimate before any answer arrives.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitEstimate {
    priorities: [PriorityWait; PRIORITIES],
}

impl WaitEstimate {
    pub(super) fn on_sent(&mut self, now: Monotonic, priority: u8, prefill_ms: f64) {
        let pending = Pending {
            sent_at: now,
            prefill_ms,
        };
        self.priority_mut(priority).pending.push_back(pending);
    }

    /// Removes the request that was sent at `sent_at` from those that wait for their first event.
    pub(super) fn remove_pending(&mut self, priority: u8, sent_at: Monotonic) {
        let pending = &mut self.priority_mut(priority).pending;
        if let Some(index) = pending.iter().position(|other| other.sent_at == sent_at) {
            pending.remove(index);
        }
    }

    /// Records the wait of a request whose first event arrived.
    pub(super) fn on_answered(&mut self, now: Monotonic, priority: u8, wait_ms: f64) {
        let priority = self.priority_mut(priority);
        // Otherwise one answer would bring back a mean that had decayed.
        if let Some(decayed_ms) = priority.decayed_ms(now) {
            priority.mean_ms = Ewma::from(decayed_ms);
        }
        priority.mean_ms.add(wait_ms.max(1.0), ANSWER_WEIGHT);
        priority.answered_at = priority.answered_at.max(now);
    }

    /// Returns the expected wait of a request of a priority, in milliseconds.
    ///
    /// It is no shorter than what more urgent requests have waited since one of the priority was last answered.
    pub(super) fn wait_ms(&self, now: Monotonic, priority: u8) -> f64 {
        let (more_urgent, own) = self.priorities.split_at(index(priority));
        let own = &own[0];
        let since = own.last_answer();
        let waits = more_urgent
            .iter()
            .filter_map(|other| other.wait_ms(now, since));
        let waits = waits.chain(own.wait_ms(now, None));
        waits.max_by(f64::total_cmp).unwrap_or(WAIT_UNKNOWN_MS)
    }

    fn priority_mut(&mut self, priority: u8) -> &mut PriorityWait {
        &mut self.priorities[index(priority)]
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
