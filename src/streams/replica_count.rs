//! How many VMs are told the beginning of a stream.

use std::time::Duration;

use crate::clock::Monotonic;

/// The smallest number: one VM of the local region and one of another.
const COUNT_MIN: usize = 2;

const COUNT_MAX: usize = 8;

/// The datagrams that a VM sends about the beginnings of its streams: 4,000 bytes a second, with their headers.
const DATAGRAMS_PER_S: f64 = 64.0;

/// The time over which the rate of streams is averaged.
const RATE_TIME: Duration = Duration::from_secs(4);

/// How many VMs are told the beginning of a stream: the fewer, the more streams a VM begins.
#[derive(Debug, Default)]
pub struct ReplicaCount {
    /// The number of streams, of which each weighs less as it ages.
    streams: f64,
    updated_at: Option<Monotonic>,
}

impl ReplicaCount {
    /// Records streams that other VMs are to be told of.
    pub fn on_streams(&mut self, now: Monotonic, count: usize) {
        self.streams = self.streams_at(now) + count as f64;
        self.updated_at = Some(now);
    }

    /// Returns the number of VMs to tell of a stream.
    pub fn get(&self, now: Monotonic) -> usize {
        let streams_per_s = self.streams_at(now) / RATE_TIME.as_secs_f64();
        let affordable = (DATAGRAMS_PER_S / streams_per_s) as usize;
        affordable.clamp(COUNT_MIN, COUNT_MAX)
    }

    fn streams_at(&self, now: Monotonic) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        self.streams * (-age.as_secs_f64() / RATE_TIME.as_secs_f64()).exp()
    }
}
