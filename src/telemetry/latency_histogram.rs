//! A histogram of latencies that can be merged with those of other VMs.

use hdrhistogram::Histogram;

const SIGNIFICANT_DIGITS: u8 = 2;
const LATENCY_MAX_US: u64 = 3_600_000_000;

/// A histogram of latencies with two significant digits.
#[derive(Clone, Debug)]
pub struct LatencyHistogram(Histogram<u64>);

/// The count of one bucket of a [`LatencyHistogram`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatencyBucket {
    /// A latency in the bucket, in microseconds.
    pub latency_us: u64,
    /// The number of latencies.
    pub count: u64,
}

impl LatencyHistogram {
    /// Adds `count` equal latencies; those over one hour count as one hour.
    pub fn record(&mut self, latency_us: u64, count: u64) {
        // An auto-resizing histogram accepts every value up to the bound.
        let _ = self.0.record_n(latency_us.min(LATENCY_MAX_US), count);
    }

    /// Adds the latencies of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for bucket in other.buckets() {
            self.record(bucket.latency_us, bucket.count);
        }
    }

    /// Returns the number of latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the latency at the percentile `percent` (0 to 100), in microseconds; `None` if the
    /// histogram is empty.
    pub fn percentile_us(&self, percent: f64) -> Option<u64> {
        (!self.0.is_empty()).then(|| self.0.value_at_percentile(percent))
    }

    /// Returns the non-empty buckets, shortest latency first.
    pub fn buckets(&self) -> impl Iterator<Item = LatencyBucket> + '_ {
        self.0.iter_recorded().map(|value| LatencyBucket {
            latency_us: value.value_iterated_to(),
            count: value.count_at_value(),
        })
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS);
        Self(histogram.expect("two digits are within the library's range"))
    }
}

impl PartialEq for LatencyHistogram {
    fn eq(&self, other: &Self) -> bool {
        self.buckets().eq(other.buckets())
    }
}
