//! Exponentially weighted moving averages.

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ewma {
    mean: Option<f64>,
}

impl From<f64> for Ewma {
    fn from(mean: f64) -> Self {
        Self { mean: Some(mean) }
    }
}

impl Ewma {
    /// Adds a sample; `weight` is its weight in the new mean, between 0 and 1.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.mean = Some(match self.mean {
            None => sample,
            Some(mean) => mean + weight * (sample - mean),
        });
    }

    /// Returns the mean, or `None` before the first sample.
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }
}
