//! Computes the length estimate and the prefix hashes of a prompt, which routing uses.

use xxhash_rust::xxh3::Xxh3;

use super::MessageWire;

/// The length of the blocks of a message's text that are hashed, in bytes.
pub const PREFIX_BLOCK_BYTES: usize = 1_024;

const PREFIX_HASHES_MAX: usize = 64;
const BYTES_PER_TOKEN: u64 = 4;
const TOKENS_PER_MESSAGE: u64 = 4;

/// Estimates the length of a prompt, in tokens.
pub fn estimate_tokens(messages: &[MessageWire]) -> u64 {
    messages
        .iter()
        .map(|message| {
            let text_tokens = message.text_bytes().div_ceil(BYTES_PER_TOKEN);
            text_tokens.saturating_add(TOKENS_PER_MESSAGE)
        })
        .fold(0, u64::saturating_add)
}

/// Computes hashes of growing prefixes of a prompt, shortest first.
///
/// A hash is taken at the end of each full block of a message's text and at the end of each
/// message, so two prompts share the hashes of their common prefix. Of more than 64, the first and
/// the last 32 are kept: the first match prompts with a common beginning, the last match later
/// requests of the same conversation.
pub fn prefix_hashes(model: impl AsRef<str>, messages: &[MessageWire]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    hasher.update(model.as_ref().as_bytes());
    let mut hashes = Vec::new();
    for message in messages {
        hasher.update(b"\0");
        hasher.update(message.role.as_bytes());
        hasher.update(b"\0");
        hash_text(&mut hasher, &message.text(), &mut hashes);
    }
    let excess = hashes.len().saturating_sub(PREFIX_HASHES_MAX);
    let excess_start = PREFIX_HASHES_MAX / 2;
    if excess > 0 {
        hashes.drain(excess_start..excess_start + excess);
    }
    hashes
}

fn hash_text(hasher: &mut Xxh3, text: &str, hashes: &mut Vec<u64>) {
    if text.is_empty() {
        hashes.push(hasher.digest());
        return;
    }
    for block in text.as_bytes().chunks(PREFIX_BLOCK_BYTES) {
        hasher.update(block);
        hashes.push(hasher.digest());
    }
}
