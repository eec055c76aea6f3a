//! The rate at which requests of one account reserve tokens on one VM.

use std::time::Duration;

use crate::clock::Monotonic;

const TIME_CONSTANT_S: f64 = 2.0;

/// The rate at which requests of one account reserve tokens on one VM, smoothed exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    seen_tokens: u64,
    sampled_at: Monotonic,
    tokens_per_s: f64,
}

impl Demand {
    /// Takes the tokens reserved since the start of the process.
    pub fn sample(&mut self, now: Monotonic, reserved_tokens: u64) {
        let elapsed_s = now.since(self.sampled_at).as_secs_f64();
        if elapsed_s <= 0.0 {
            return;
        }
        let new_tokens = reserved_tokens.saturating_sub(self.seen_tokens);
        let sample_tokens_per_s = new_tokens as f64 / elapsed_s;
        let weight = 1.0 - (-elapsed_s / TIME_CONSTANT_S).exp();
        self.tokens_per_s += weight * (sample_tokens_per_s - self.tokens_per_s);
        self.seen_tokens = reserved_tokens;
        self.sampled_at = now;
    }

    /// Returns the tokens that will be reserved within `time` at the present rate.
    pub fn expected_tokens(&self, time: Duration) -> u64 {
        (self.tokens_per_s * time.as_secs_f64()) as u64
    }
}
