//! How long requests wait at an endpoint for their first event, by rank.

use std::collections::VecDeque;
use std::time::Duration;

use super::Ewma;
use crate::clock::Monotonic;

/// The weight of one answer in the mean wait: about the last five count.
const ANSWER_WEIGHT: f64 = 0.2;

/// The age at which the mean wait has lost half of what it lies above the lowest one.
const HALF_LIFE: Duration = Duration::from_millis(1_000);

/// The wait that is assumed of an endpoint without an answer so far, in milliseconds.
const WAIT_UNKNOWN_MS: f64 = 30.0;

/// The ranks that are told apart; lower ones share the last.
const RANKS: usize = 4;

#[derive(Clone, Debug, Default)]
struct RankWait {
    mean_ms: Ewma,
    answered_at: Monotonic,
    pending: VecDeque<Pending>,
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sent_at: Monotonic,
    work_ms: f64,
}

/// How long requests wait at an endpoint for their first event, apart from their own prefill.
///
/// Engines admit by rank, so each rank has a wait of its own. A request that has been waiting for
/// longer than the mean tells of a queue before any answer does.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitEstimate {
    ranks: [RankWait; RANKS],
}

impl WaitEstimate {
    pub(super) fn on_sent(&mut self, now: Monotonic, rank: u8, work_ms: f64) {
        let pending = Pending {
            sent_at: now,
            work_ms,
        };
        self.rank_mut(rank).pending.push_back(pending);
    }

    /// Notes that the request that was sent at a time no longer waits.
    pub(super) fn on_left(&mut self, rank: u8, sent_at: Monotonic) {
        let pending = &mut self.rank_mut(rank).pending;
        if let Some(index) = pending.iter().position(|other| other.sent_at == sent_at) {
            pending.remove(index);
        }
    }

    /// Notes the wait of a request whose first event came.
    pub(super) fn on_answered(&mut self, now: Monotonic, rank: u8, wait_ms: f64) {
        let rank = self.rank_mut(rank);
        rank.mean_ms.add(wait_ms.max(1.0), ANSWER_WEIGHT);
        rank.answered_at = now;
    }

    /// Returns the expected wait of a request of a rank, in milliseconds.
    pub(super) fn wait_ms(&self, now: Monotonic, rank: u8) -> f64 {
        let rank = &self.ranks[index(rank)];
        let mean_ms = rank.mean_ms.mean().unwrap_or(WAIT_UNKNOWN_MS);
        let age = now.since(rank.answered_at).as_secs_f64();
        let above_ms = (mean_ms - WAIT_UNKNOWN_MS).max(0.0);
        let decayed_ms = above_ms * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        let oldest_ms = rank.pending.front().map_or(0.0, |pending| {
            now.since(pending.sent_at).as_secs_f64() * 1_000.0 - pending.work_ms
        });
        (mean_ms.min(WAIT_UNKNOWN_MS) + decayed_ms).max(oldest_ms)
    }

    fn rank_mut(&mut self, rank: u8) -> &mut RankWait {
        &mut self.ranks[index(rank)]
    }
}

fn index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
