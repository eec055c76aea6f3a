//! The endpoints that are compared for a request.

use slotmap::Key;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::EndpointKey;

/// The endpoints up to which all are compared: a VM's answers of one second tell of so many.
const COMPARE_ALL_MAX: usize = 8;

/// The endpoints drawn among more: two bring most of the gain over one (Mitzenmacher, 2001), a
/// third makes up for one whose wait is not known.
const DRAWN: usize = 3;

/// Draws the endpoints that are compared for a request; `None` if all are.
///
/// It answers fleets of many VMs and endpoints, where each VM knows the wait at an endpoint from
/// answers that are seconds old. The lowest of many such waits is one that is no longer true, and
/// every VM would send there (Mitzenmacher, How useful is old information?, 2000).
pub(super) fn draw_sample(
    open: impl Iterator<Item = EndpointKey>,
    draw: u64,
) -> Option<Vec<EndpointKey>> {
    let mut open: Vec<EndpointKey> = open.collect();
    if open.len() <= COMPARE_ALL_MAX {
        return None;
    }
    open.sort_by_cached_key(|key| xxh3_64_with_seed(&key.data().as_ffi().to_le_bytes(), draw));
    open.truncate(DRAWN);
    Some(open)
}
