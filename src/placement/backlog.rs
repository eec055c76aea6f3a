//! The prompt tokens that wait for prefill at an endpoint.

/// The number of priorities that are counted apart; all lower ones share the last one.
const PRIORITIES: usize = 10;

/// The prompt tokens that wait for prefill at an endpoint, by the priority of their requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Backlog {
    tokens: [u64; PRIORITIES],
}

impl Backlog {
    pub(super) fn add(&mut self, priority: u8, tokens: u64) {
        let sum = &mut self.tokens[index(priority)];
        *sum = sum.saturating_add(tokens);
    }

    pub(super) fn remove(&mut self, priority: u8, tokens: u64) {
        let sum = &mut self.tokens[index(priority)];
        *sum = sum.saturating_sub(tokens);
    }

    /// Returns the tokens that an engine prefills before those of a new request of a priority.
    pub(super) fn ahead_of(&self, priority: u8) -> u64 {
        self.tokens[..=index(priority)].iter().sum()
    }

    /// Returns the tokens of each priority.
    pub(super) const fn by_priority(&self) -> [u64; PRIORITIES] {
        self.tokens
    }

    pub(super) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn index(priority: u8) -> usize {
    usize::from(priority).min(PRIORITIES - 1)
}
