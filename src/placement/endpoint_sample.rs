//! The sample of endpoints that are compared for a request.

use slotmap::Key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointKey;

/// Up to this number, all endpoints are compared: the answers that a VM receives within a second
/// cover that many.
const COMPARE_ALL_MAX: usize = 8;

/// The sample size for more endpoints: two choices bring most of the gain over one (Mitzenmacher,
/// 2001), and a third makes up for an endpoint whose wait is unknown.
const SAMPLE_SIZE: usize = 3;

/// Draws a random sample of the endpoints for one request; returns `None` if all are compared.
///
/// In a fleet of many VMs and endpoints, each VM knows the waits only from answers that are seconds
/// old. The lowest of many such waits is likely outdated, and all VMs would send to that endpoint
/// at once (Mitzenmacher, How useful is old information?, 2000).
pub(super) fn draw_sample(
    available: impl Iterator<Item = EndpointKey>,
    draw: u64,
) -> Option<Vec<EndpointKey>> {
    let mut available: Vec<EndpointKey> = available.collect();
    if available.len() <= COMPARE_ALL_MAX {
        return None;
    }
    available.sort_by_cached_key(|key| xxh3_64_with_seed(&key.data().as_ffi().to_le_bytes(), draw));
    available.truncate(SAMPLE_SIZE);
    Some(available)
}
