//! The speed at which the engines of a service prefill prompts.

/// The time per prompt token that is assumed before any answer, in milliseconds.
///
/// Engines of the sizes in docs/CAPACITY.md prefill about 50 tokens per millisecond.
pub const PREFILL_MS_PER_TOKEN: f64 = 0.02;

/// The weight of one answer: about the last 30 count.
const ANSWER_WEIGHT: f64 = 0.03;

/// Prompts shorter than this say little about the speed, as their latency has other causes.
const TOKENS_MIN: u64 = 1_000;

/// The length of prompt that the assumed time per token weighs as much as.
const PRIOR_TOKENS: f64 = 10_000.0;

/// How far the learned time per token may be from the assumed one, as a factor either way.
const FACTOR_MAX: f64 = 4.0;

/// The time that the engines of a service take per prompt token, learned from answers.
///
/// It includes what engines do between two chunks of a prompt, such as generating the tokens of
/// other requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct PrefillRate {
    latency_ms: f64,
    tokens: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self {
            latency_ms: PRIOR_TOKENS * PREFILL_MS_PER_TOKEN,
            tokens: PRIOR_TOKENS,
        }
    }
}

impl PrefillRate {
    /// Records an answer whose first event came after `latency_ms`, when the endpoint had `tokens`
    /// to prefill, those of the request included.
    pub(super) fn add(&mut self, latency_ms: f64, tokens: u64) {
        if tokens < TOKENS_MIN {
            return;
        }
        // The ratio of two means, so that long prompts count by their length.
        self.latency_ms += ANSWER_WEIGHT * (latency_ms - self.latency_ms);
        self.tokens += ANSWER_WEIGHT * (tokens as f64 - self.tokens);
    }

    /// Returns the time to prefill `tokens`, in milliseconds.
    pub(super) fn prefill_ms(&self, tokens: u64) -> f64 {
        let learned = self.latency_ms / self.tokens;
        let min = PREFILL_MS_PER_TOKEN / FACTOR_MAX;
        let max = PREFILL_MS_PER_TOKEN * FACTOR_MAX;
        tokens as f64 * learned.clamp(min, max)
    }
}
