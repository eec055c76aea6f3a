//! A model engine that prefills prompts one after the other, generates answers in a batch and has a
//! prefix cache.

use std::collections::HashMap;
use std::collections::VecDeque;

const PROMPT_TOKENS_PER_S: u64 = 8_000;
const TOKEN_US: u64 = 20_000;
const CACHE_BLOCKS: usize = 400;
const BLOCK_TOKENS: u64 = 128;

#[derive(Clone, Debug)]
pub struct Job {
    pub attempt: usize,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub prefix_hashes: Vec<u64>,
}

/// A started job, with the times of its first token and its end.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    pub attempt: usize,
    pub first_token_us: u64,
    pub done_us: u64,
    pub cached_tokens: u64,
    pub prompt_tokens: u64,
}

#[derive(Clone, Debug)]
pub struct Engine {
    pub region: usize,
    pub concurrency: usize,
    pub is_up: bool,
    pub slowdown_factor: u64,
    pub waiting: VecDeque<Job>,
    pub running: Vec<usize>,
    prefill_free_us: u64,
    cache: HashMap<u64, u64>,
    cache_clock: u64,
}

impl Engine {
    pub fn new(region: usize, concurrency: usize) -> Self {
        Self {
            region,
            concurrency,
            is_up: true,
            slowdown_factor: 1,
            waiting: VecDeque::new(),
            running: Vec::new(),
            prefill_free_us: 0,
            cache: HashMap::new(),
            cache_clock: 0,
        }
    }

    /// Starts waiting jobs while slots are free.
    pub fn start(&mut self, now_us: u64) -> Vec<Started> {
        let mut started = Vec::new();
        while self.running.len() < self.concurrency {
            let Some(job) = self.waiting.pop_front() else {
                break;
            };
            started.push(self.start_one(now_us, &job));
        }
        started
    }

    /// Takes the engine down; returns the attempts that fail.
    pub fn fail(&mut self) -> Vec<usize> {
        self.is_up = false;
        self.cache.clear();
        let waiting = self.waiting.drain(..).map(|job| job.attempt);
        self.running.drain(..).chain(waiting).collect()
    }

    pub fn finish(&mut self, attempt: usize) {
        self.running.retain(|running| *running != attempt);
    }

    fn start_one(&mut self, now_us: u64, job: &Job) -> Started {
        self.running.push(job.attempt);
        let cached_tokens = self.cache_prompt(&job.prefix_hashes);
        let uncached = job.prompt_tokens - cached_tokens.min(job.prompt_tokens);
        let prefill_us = uncached * 1_000_000 / PROMPT_TOKENS_PER_S * self.slowdown_factor;
        let first_token_us = now_us.max(self.prefill_free_us) + prefill_us;
        self.prefill_free_us = first_token_us;
        let batch_percent = 100 + 100 * self.running.len() as u64 / self.concurrency as u64;
        let answer_us = job.answer_tokens * TOKEN_US * batch_percent / 200 * self.slowdown_factor;
        Started {
            attempt: job.attempt,
            first_token_us,
            done_us: first_token_us + answer_us,
            cached_tokens,
            prompt_tokens: job.prompt_tokens,
        }
    }

    fn cache_prompt(&mut self, prefix_hashes: &[u64]) -> u64 {
        let matching = prefix_hashes
            .iter()
            .take_while(|hash| self.cache.contains_key(hash))
            .count() as u64;
        self.cache_clock += 1;
        for hash in prefix_hashes {
            self.cache.insert(*hash, self.cache_clock);
        }
        while self.cache.len() > CACHE_BLOCKS {
            let oldest = self
                .cache
                .iter()
                .min_by_key(|(hash, used)| (**used, **hash));
            let Some((hash, _)) = oldest else {
                break;
            };
            let hash = *hash;
            self.cache.remove(&hash);
        }
        matching * BLOCK_TOKENS
    }
}
