//! What engines report about themselves.

/// The load of an endpoint, as it reports it; the report lags.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
    /// The share of cache memory that running requests hold, in thousandths; prefixes that can be
    /// evicted do not count.
    pub cache_used_permille: u32,
    /// The age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// The sequence number of the last cache event.
    pub cache_sequence: u64,
    /// The cache events after the sequence number that was asked for; gaps are possible.
    pub cache_events: Vec<CacheEvent>,
}

/// A change of the prefixes that an engine has in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub is_stored: bool,
}
