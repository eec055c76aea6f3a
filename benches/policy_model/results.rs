//! The results of the requests of a run.

use figramp::catalog::WorkClass;

use super::demand::Request;

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub first_token_us: Option<u64>,
    pub is_done: bool,
    pub refusals: u32,
    /// When the refused request is sent again; zero if it is not.
    pub retry_at_us: u64,
    /// Refusals after the request had waited in a queue.
    pub queue_refusals: u32,
    pub forwards: u32,
    pub cached_tokens: u64,
}

#[derive(Clone, Debug)]
pub struct Results {
    pub requests: Vec<Request>,
    pub outcomes: Vec<Outcome>,
}

impl Results {
    /// Returns the requests of a class that arrived in a period of the run, with their outcomes.
    pub fn between(&self, class: WorkClass, from_s: u64, to_s: u64) -> Vec<(&Request, &Outcome)> {
        let range = from_s * 1_000_000..to_s * 1_000_000;
        self.requests
            .iter()
            .zip(&self.outcomes)
            .filter(|(request, _)| request.class == class && range.contains(&request.at_us))
            .collect()
    }
}

/// Returns the `permille` percentile of the times to the first token, in milliseconds.
pub fn first_token_ms(rows: &[(&Request, &Outcome)], permille: usize) -> u64 {
    let mut times: Vec<u64> = rows
        .iter()
        .filter_map(|(request, outcome)| Some(outcome.first_token_us? - request.at_us))
        .collect();
    times.sort_unstable();
    if times.is_empty() {
        return 0;
    }
    let rank = (times.len() - 1) * permille / 1_000;
    times[rank] / 1_000
}

pub fn percent(part: f64, whole: f64) -> f64 {
    if whole == 0.0 {
        return 0.0;
    }
    100.0 * part / whole
}

pub fn served_percent(rows: &[(&Request, &Outcome)]) -> f64 {
    let served = rows.iter().filter(|(_, outcome)| outcome.is_done).count();
    percent(served as f64, rows.len() as f64)
}

pub fn forwarded_percent(rows: &[(&Request, &Outcome)]) -> f64 {
    let forwarded = rows
        .iter()
        .filter(|(_, outcome)| outcome.forwards > 0)
        .count();
    percent(forwarded as f64, rows.len() as f64)
}

pub fn cached_percent(rows: &[(&Request, &Outcome)]) -> f64 {
    let done = || rows.iter().filter(|(_, outcome)| outcome.is_done);
    let cached: u64 = done().map(|(_, outcome)| outcome.cached_tokens).sum();
    let prompt: u64 = done().map(|(request, _)| request.prompt_tokens).sum();
    percent(cached as f64, prompt as f64)
}
