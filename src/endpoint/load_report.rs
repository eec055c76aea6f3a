//! The load report of an engine.

/// The load of an endpoint according to its last report, which may be outdated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait inside the endpoint.
    pub waiting: u32,
    /// The share of cache memory held by running requests, in thousandths, without prefixes that
    /// can be evicted.
    pub cache_used_permille: u32,
    /// The age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// The sequence number of the last cache event.
    pub cache_sequence: u64,
    /// The cache events after the requested sequence number; gaps are possible.
    pub cache_events: Vec<CacheEvent>,
}

/// A change of the prefixes in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// The sequence number.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub is_stored: bool,
}
