//! The prefix cache of the stand-in engine.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::endpoint::CacheEvent;

/// The largest number of cache events that are retained for readers.
const EVENTS_MAX: usize = 4_096;
/// The length of a prefix block, in tokens.
const BLOCK_TOKENS: u64 = 256;

/// A cache of prompt prefixes that evicts the least recently used blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    blocks_max: usize,
    last_uses: HashMap<u64, u64>,
    uses: VecDeque<Use>,
    next_use: u64,
    sequence: u64,
    events: VecDeque<CacheEvent>,
}

#[derive(Clone, Copy, Debug)]
struct Use {
    prefix_hash: u64,
    number: u64,
}

impl PrefixCache {
    /// Creates an empty cache with room for `cache_tokens`.
    pub(super) fn new(cache_tokens: u64) -> Self {
        Self {
            blocks_max: usize::try_from(cache_tokens / BLOCK_TOKENS).unwrap_or(usize::MAX),
            last_uses: HashMap::new(),
            uses: VecDeque::new(),
            next_use: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns how many of the `prompt_tokens` are cached, and caches the whole prompt.
    pub(super) fn read(&mut self, prefix_hashes: &[u64], prompt_tokens: u64) -> u64 {
        let is_cached = |hash: &&u64| self.last_uses.contains_key(hash);
        let hit_count = prefix_hashes.iter().take_while(is_cached).count();
        for hash in prefix_hashes {
            self.touch(*hash);
        }
        self.evict();
        let block_count = u64::try_from(prefix_hashes.len()).unwrap_or(u64::MAX);
        let hit_count = u64::try_from(hit_count).unwrap_or(u64::MAX);
        prompt_tokens.saturating_mul(hit_count) / block_count.max(1)
    }

    /// Returns the sequence number of the last event.
    pub(super) const fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the retained events after `sequence`.
    pub(super) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let events = self.events.iter().copied();
        events.filter(|event| event.sequence > sequence).collect()
    }

    fn touch(&mut self, prefix_hash: u64) {
        let number = self.next_use;
        self.next_use += 1;
        self.uses.push_back(Use {
            prefix_hash,
            number,
        });
        if self.last_uses.insert(prefix_hash, number).is_none() {
            self.publish(prefix_hash, true);
        }
    }

    fn evict(&mut self) {
        while self.last_uses.len() > self.blocks_max {
            let Some(oldest) = self.uses.pop_front() else {
                return;
            };
            if self.last_uses.get(&oldest.prefix_hash) == Some(&oldest.number) {
                self.last_uses.remove(&oldest.prefix_hash);
                self.publish(oldest.prefix_hash, false);
            }
        }
    }

    fn publish(&mut self, prefix_hash: u64, is_stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent {
            sequence: self.sequence,
            prefix_hash,
            is_stored,
        });
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
        }
    }
}
