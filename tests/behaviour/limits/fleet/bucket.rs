//! An ideal token bucket to compare with, and a meter of how far admissions exceed the rate.

const US_PER_S: u128 = 1_000_000;

/// Measures, over all intervals, how far admissions exceed rate × time + burst.
#[derive(Debug)]
pub struct ExcessMeter {
    rate: u128,
    burst: u128,
    level: u128,
    at_us: u64,
    pub excess_tokens: u128,
}

impl ExcessMeter {
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate: u128::from(rate),
            burst: u128::from(burst),
            level: 0,
            at_us: 0,
            excess_tokens: 0,
        }
    }

    /// Adds used tokens in the order of time; the level is a leaky bucket in millionths of a token.
    pub fn add(&mut self, at_us: u64, used_tokens: u64) {
        let leaked = u128::from(at_us - self.at_us) * self.rate;
        self.at_us = at_us;
        self.level = self.level.saturating_sub(leaked) + u128::from(used_tokens) * US_PER_S;
        let over = self.level.saturating_sub(self.burst * US_PER_S);
        self.excess_tokens = self.excess_tokens.max(over.div_ceil(US_PER_S));
    }
}

/// One token bucket for the whole fleet, as if it were one machine.
#[derive(Debug)]
pub struct IdealBucket {
    rate: u64,
    burst: u64,
    level_millionths: u128,
    at_us: u64,
}

impl IdealBucket {
    pub fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            level_millionths: u128::from(burst) * US_PER_S,
            at_us: 0,
        }
    }

    pub fn admit(&mut self, at_us: u64, tokens: u64) -> bool {
        self.fill(at_us, 0);
        let cost = u128::from(tokens) * US_PER_S;
        let is_admitted = self.level_millionths >= cost;
        if is_admitted {
            self.level_millionths -= cost;
        }
        is_admitted
    }

    pub fn fill(&mut self, at_us: u64, refund_tokens: u64) {
        let earned = u128::from(at_us - self.at_us) * u128::from(self.rate);
        let refund = u128::from(refund_tokens) * US_PER_S;
        let cap = u128::from(self.burst) * US_PER_S;
        self.at_us = at_us;
        self.level_millionths = (self.level_millionths + earned + refund).min(cap);
    }
}
