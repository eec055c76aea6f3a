//! The latest time of each key, for a bounded number of keys.

use std::collections::HashMap;
use std::hash::Hash;

use super::EventTime;

/// The largest number of keys; beyond it the older half is forgotten.
const KEYS_MAX: usize = 4_096;

/// The latest time of each key.
#[derive(Debug)]
pub(super) struct LatestTimes<K> {
    times: HashMap<K, EventTime>,
}

impl<K: Copy + Eq + Hash> LatestTimes<K> {
    /// Records a time of a key unless a later one is known.
    pub(super) fn record(&mut self, key: K, at: EventTime) {
        let latest = self.times.entry(key).or_insert(at);
        *latest = at.max(*latest);
        if self.times.len() > KEYS_MAX {
            let mut times: Vec<EventTime> = self.times.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(KEYS_MAX / 2);
            let median = *median;
            self.times.retain(|_, at| *at > median);
        }
    }

    pub(super) fn get(&self, key: K) -> Option<EventTime> {
        self.times.get(&key).copied()
    }
}

impl<K> Default for LatestTimes<K> {
    fn default() -> Self {
        Self {
            times: HashMap::new(),
        }
    }
}
