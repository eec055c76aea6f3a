//! The simulated requests of callers.

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64;

use figramp::catalog::WorkClass;

const BLOCK_TOKENS: u64 = 128;

/// A Poisson process of requests of one account and class in one region.
#[derive(Clone, Debug)]
pub struct Stream {
    pub account: usize,
    pub region: usize,
    pub class: WorkClass,
    pub per_s: f64,
    /// The length of the prompt prefix that all requests of the account share.
    pub shared_tokens: u64,
    /// The length of the document that follows it.
    pub document_tokens: u64,
    pub document_count: u64,
    pub question_tokens: u64,
    pub answer_tokens: u64,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub at_us: u64,
    pub account: usize,
    pub region: usize,
    pub class: WorkClass,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
    pub prefix_hashes: Vec<u64>,
}

/// Draws the requests of `duration_s`, sorted by arrival time.
pub fn requests(streams: &[Stream], duration_s: f64, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for stream in streams {
        let mut at_s = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_s -= uniform.ln() / stream.per_s;
            if at_s >= duration_s {
                break;
            }
            requests.push(request(stream, at_s, &mut rng));
        }
    }
    requests.sort_by_key(|request| request.at_us);
    requests
}

fn request(stream: &Stream, at_s: f64, rng: &mut StdRng) -> Request {
    // Squaring the uniform number makes the first documents more frequent.
    let uniform: f64 = rng.random();
    let document = (uniform * uniform * stream.document_count as f64) as u64;
    let spread = rng.random_range(0.5..1.5);
    let question_tokens = (stream.question_tokens as f64 * spread) as u64;
    let common_tokens = stream.shared_tokens + stream.document_tokens;
    let blocks = common_tokens / BLOCK_TOKENS;
    let shared_blocks = stream.shared_tokens / BLOCK_TOKENS;
    let prefix_hashes = (0..blocks)
        .map(|block| {
            let document = if block < shared_blocks {
                0
            } else {
                document + 1
            };
            let text = format!("{} {:?} {document} {block}", stream.account, stream.class);
            xxh3_64(text.as_bytes())
        })
        .collect();
    Request {
        at_us: (at_s * 1e6) as u64,
        account: stream.account,
        region: stream.region,
        class: stream.class,
        prompt_tokens: common_tokens + question_tokens.max(1),
        answer_tokens: ((stream.answer_tokens as f64 * spread) as u64).max(1),
        prefix_hashes,
    }
}
