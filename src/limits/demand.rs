//! The rate at which requests of one account reserve tokens on one VM.

use std::time::Duration;

use super::TokenPool;
use crate::clock::Monotonic;

const TIME_CONSTANT_S: f64 = 2.0;

/// The rate at which requests of one account reserve tokens on one VM, as an exponentially weighted
/// moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    tokens: Rate,
    requests: Rate,
    sampled_at: Monotonic,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    seen: u64,
    per_s: f64,
}

impl Demand {
    /// Updates the averages with what was reserved since the last sample.
    pub fn sample(&mut self, now: Monotonic, pool: &TokenPool) {
        let elapsed_s = now.since(self.sampled_at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        self.tokens.sample(elapsed_s, pool.reserved_tokens());
        self.requests.sample(elapsed_s, pool.reservation_count());
        self.sampled_at = now;
    }

    /// Returns the tokens that will be reserved within `time` at the current rate.
    pub fn expected_tokens(&self, time: Duration) -> u64 {
        self.tokens.expected(time) as u64
    }

    /// Returns the number of requests that will reserve tokens within `time` at the current rate.
    pub fn expected_requests(&self, time: Duration) -> f64 {
        self.requests.expected(time)
    }
}

impl Rate {
    fn sample(&mut self, elapsed_s: f64, count: u64) {
        let sample_per_s = count.saturating_sub(self.seen) as f64 / elapsed_s;
        let weight = 1.0 - (-elapsed_s / TIME_CONSTANT_S).exp();
        self.per_s += weight * (sample_per_s - self.per_s);
        self.seen = count;
    }

    fn expected(&self, time: Duration) -> f64 {
        self.per_s * time.as_secs_f64()
    }
}
