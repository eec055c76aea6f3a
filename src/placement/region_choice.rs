//! The choice between the local region and a remote one.

use crate::deployment::RegionKey;

/// The fraction of the target latency up to which no request is forwarded because of load.
///
/// A cross-region forward costs bandwidth between regions, and is only worth it where it keeps an
/// answer on time.
const LOCAL_TARGET_FRACTION: f64 = 0.3;

/// The least gain of a cross-region forward, in milliseconds; the known waits of remote regions are
/// up to two gossip rounds old.
const FORWARD_GAIN_MIN_MS: f64 = 60.0;

/// A region whose VMs may serve a request: a remote one, or the local one if this VM does not reach its
/// endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionOption {
    /// The region.
    pub region: RegionKey,
    /// The expected time to the first event, including the round trip, in milliseconds.
    pub expected_ms: f64,
    /// Whether the owner of the shared prompt prefix is in the region.
    pub has_prefix: bool,
}

/// The region that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegionChoice {
    /// The local region, through one of its endpoints.
    Local,
    /// A region, through another VM of it.
    Remote(RegionKey),
    /// No region can serve the request.
    None,
}

/// Chooses the region of a request.
///
/// A cross-region forward pays where the local region would be late, and where a remote region owns
/// a shared prompt prefix whose prefill takes longer than the round trip.
///
/// The waits of remote regions arrive with a delay, so if all VMs chose the best region, they would
/// overload it: a forward because of load happens with a probability that grows with the gain.
/// `draw` is a random number from 0 to 1.
///
/// `local_ms` is the expected time to the first event in the local region, `None` if no endpoint
/// there can accept the request.
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
            let is_local_slow = local_ms > target_ms * LOCAL_TARGET_FRACTION;
            let is_drawn = draw * local_ms < gain_ms;
            if gain_ms > FORWARD_GAIN_MIN_MS && (other.has_prefix || (is_local_slow && is_drawn)) {
                RegionChoice::Remote(other.region)
            } else {
                RegionChoice::Local
            }
        }
    }
}
