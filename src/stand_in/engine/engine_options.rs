//! Options of the stand-in engine.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

/// Options of the stand-in engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineOptions {
    /// The address to listen on; port 0 chooses a free port.
    pub bind_address: SocketAddr,
    /// The largest number of requests that run at once.
    pub concurrency: u32,
    /// The prefill time of one prompt token that is not in the cache.
    pub prefill_time_per_token: Duration,
    /// The time to generate one token when no other request runs.
    pub time_per_token: Duration,
    /// The fraction of `time_per_token` that each further running request adds to it.
    pub slowdown_per_request: f64,
    /// The size of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// The age of load reports.
    pub load_report_lag: Duration,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            bind_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            concurrency: 16,
            prefill_time_per_token: Duration::from_micros(20),
            time_per_token: Duration::from_millis(2),
            slowdown_per_request: 0.05,
            cache_tokens: 200_000,
            load_report_lag: Duration::from_millis(200),
            checks_fencing: true,
        }
    }
}
