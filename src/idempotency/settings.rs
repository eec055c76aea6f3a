//! Bounds and times of the records.

use std::time::Duration;

/// Bounds and times of the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a coordinator waits for acknowledgements.
    pub ack_timeout: Duration,
    /// How long a record is kept.
    pub record_ttl: Duration,
    /// How long the state before a change counts along with the state after it.
    pub transition: Duration,
    /// How long a VM that starts waits for every other VM of its region, and not just for most.
    pub full_sync_timeout: Duration,
    /// The time between two requests of a VM that reads the records of another.
    pub sync_interval: Duration,
    /// The time between two questions to the coordinator of a record without an outcome.
    pub query_interval: Duration,
    /// The most records.
    pub records_max: usize,
    /// The longest answer that is kept, in bytes.
    pub answer_max_bytes: usize,
    /// The most bytes of kept answers.
    pub answers_max_bytes: usize,
    /// The most records of one page or one tick.
    pub page_max_records: usize,
}

impl Default for IdempotencySettings {
    fn default() -> Self {
        Self {
            ack_timeout: Duration::from_millis(250),
            record_ttl: Duration::from_secs(24 * 60 * 60),
            transition: Duration::from_secs(30),
            full_sync_timeout: Duration::from_secs(60),
            sync_interval: Duration::from_millis(500),
            query_interval: Duration::from_secs(1),
            records_max: 100_000,
            answer_max_bytes: 16 * 1_024,
            answers_max_bytes: 32 * 1_024 * 1_024,
            page_max_records: 64,
        }
    }
}
