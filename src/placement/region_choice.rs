//! Whether a request is served here or by the VMs of another region.

use crate::deployment::RegionKey;

/// The part of the target latency up to which the own region is used without comparison.
///
/// Crossing costs bandwidth between regions, and is only worth it where it keeps an answer on time.
const LOCAL_TARGET_PART: f64 = 0.3;

/// The gain that a crossing must bring, in milliseconds; waits of other regions are up to two
/// rounds of gossip old.
const CROSSING_GAIN_MS: f64 = 60.0;

/// A region in which a request may be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionOption {
    /// The region.
    pub region: RegionKey,
    /// The expected time to the first event, the way there and back included, in milliseconds.
    pub expected_ms: f64,
    /// Whether the region keeps the shared part of the prompt.
    pub has_prefix: bool,
}

/// Where a request is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionChoice {
    /// By an endpoint of the own region.
    Local,
    /// By way of a VM of another region.
    Remote(RegionKey),
    /// Nowhere.
    None,
}

/// Chooses the region of a request.
///
/// A crossing pays where the own region is late, and where another one keeps a shared part of the
/// prompt whose prefill takes longer than the way there and back.
///
/// Waits of other regions are told with a delay, so VMs that all went to the best one would swamp
/// it: a crossing for load is drawn with a probability that grows with the gain. `draw` is a random
/// number from 0 to 1.
///
/// `local_ms` is the expected time to the first event in the own region, `None` if no endpoint
/// there can take the request.
pub fn choose_region(
    local_ms: Option<f64>,
    others: impl IntoIterator<Item = RegionOption>,
    target_ms: f64,
    draw: f64,
) -> RegionChoice {
    let best = others
        .into_iter()
        .min_by(|a, b| a.expected_ms.total_cmp(&b.expected_ms));
    match (local_ms, best) {
        (None, None) => RegionChoice::None,
        (None, Some(other)) => RegionChoice::Remote(other.region),
        (Some(_), None) => RegionChoice::Local,
        (Some(local_ms), Some(other)) => {
            let gain_ms = local_ms - other.expected_ms;
            let is_slow_here = local_ms > target_ms * LOCAL_TARGET_PART;
            let is_drawn = draw * local_ms < gain_ms;
            if gain_ms > CROSSING_GAIN_MS && (other.has_prefix || (is_slow_here && is_drawn)) {
                RegionChoice::Remote(other.region)
            } else {
                RegionChoice::Local
            }
        }
    }
}
