//! The prefix of a prompt that other requests share.

/// The fraction of a prefix that a cached part must cover, with the parts before it, to decide where
/// requests with that prefix go.
const COVERED_FRACTION: f64 = 0.8;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash that identifies the part and the ones before it.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// The shared parts of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptPrefix {
    parts: Vec<PromptPart>,
}

impl PromptPrefix {
    /// Creates a prefix of parts in the order of the prompt.
    pub const fn new(parts: Vec<PromptPart>) -> Self {
        Self { parts }
    }

    /// Returns the parts that other requests may share; one without tokens is not shared.
    pub fn shared_parts(&self) -> impl Iterator<Item = &PromptPart> {
        self.parts.iter().filter(|part| part.tokens > 0)
    }

    /// Returns the length in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns the key by which requests with this prefix share an endpoint; `None` without parts.
    ///
    /// It is the hash of the first part up to which most of the prefix lies. An earlier part may be
    /// shared by more requests than one endpoint can serve; a later one adds little to the cached
    /// tokens, but spreads requests that share a long part.
    pub fn affinity_key(&self) -> Option<u64> {
        let covered_min = self.tokens() as f64 * COVERED_FRACTION;
        let mut covered = 0;
        let part = self.parts.iter().find(|part| {
            covered += part.tokens;
            covered as f64 >= covered_min
        });
        part.map(|part| part.hash)
    }
}
