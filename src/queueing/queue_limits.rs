//! The bounds of the queues.

/// The bounds of the queues of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// The longest queue of one account in one class, in requests.
    pub account_max_requests: usize,
    /// The longest queue of one class, in requests.
    pub class_max_requests: usize,
    /// The tokens that an account of weight 1 may start per round.
    pub quantum_tokens: u64,
    /// The interactive tokens that start for each long token, while both classes wait.
    pub interactive_per_long: u64,
}

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            account_max_requests: 256,
            class_max_requests: 2_048,
            quantum_tokens: 1_024,
            interactive_per_long: 4,
        }
    }
}
