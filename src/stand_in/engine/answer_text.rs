//! The text of answers, which depends only on the request body.

use xxhash_rust::xxh3::xxh3_64;

const WORDS: [&str; 16] = [
    "mulch", "guava", "panela", "compost", "lemon", "trellis", "batch", "harvest", "molasses",
    "seedling", "crate", "soil", "paste", "rain", "wrapper", "fern",
];

/// Returns the `answer_max_tokens` tokens of the answer to a request with this body; equal bodies
/// get equal tokens.
pub fn answer_tokens(body: impl AsRef<[u8]>, answer_max_tokens: u64) -> Vec<String> {
    let seed = xxh3_64(body.as_ref());
    (0..answer_max_tokens)
        .map(|offset| token_at(seed, offset))
        .collect()
}

fn token_at(seed: u64, offset: u64) -> String {
    let mixed = xxh3_64(&(seed ^ offset.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes());
    let index = usize::from(mixed.to_le_bytes()[0]) % WORDS.len();
    format!("{}{} ", WORDS[index], offset)
}
