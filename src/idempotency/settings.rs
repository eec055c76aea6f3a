//! Limits and timeouts of idempotency records.

use std::time::Duration;

/// Limits and timeouts of idempotency records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencySettings {
    /// How long a coordinator waits for acknowledgements before it aborts a submission.
    pub ack_timeout: Duration,
    /// How long a record is stored.
    pub record_ttl: Duration,
    /// How long the replicas before a change of the published state are needed along with those after
    /// it.
    pub transition: Duration,
    /// How long a VM that starts waits for the records of all other VMs of its region; after that, a
    /// majority suffices.
    pub full_sync_timeout: Duration,
    /// The time after which an unanswered request for a page of records is sent again.
    pub sync_interval: Duration,
    /// The time between two queries to the coordinators of records without an outcome.
    pub query_interval: Duration,
    /// The most records that a VM stores.
    pub records_max: usize,
    /// The longest answer that is stored, in bytes.
    pub answer_max_bytes: usize,
    /// The most bytes of all stored answers.
    pub answers_max_bytes: usize,
    /// The most records in one page, and the most that one tick copies or queries.
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
