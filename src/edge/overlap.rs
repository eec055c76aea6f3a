//! How long a silent answer may be kept beside the attempt to resume its stream elsewhere.

use std::time::Duration;

/// How long two endpoints may work on one request.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

/// The longest pause of a daemon whose processor time is a quota of each tenth of a second.
const PROCESSOR_PAUSE: Duration = Duration::from_millis(100);

/// The round-trip time to another VM that is assumed before one was measured.
const ROUND_TRIP_UNKNOWN: Duration = Duration::from_millis(150);

/// The way from this VM to the endpoint of a silent answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilentPath {
    /// A connection to the endpoint.
    Direct,
    /// A connection to another VM, which is connected to the endpoint.
    Forwarded {
        /// The round-trip time to the VM; `None` if it was not measured.
        round_trip: Option<Duration>,
    },
}

/// Returns how long the silent answer may be kept.
///
/// Its endpoint works on until it sees that its connection is closed, which this VM may do late and another
/// VM has to pass on.
pub fn overlap_max(path: SilentPath) -> Duration {
    let closing = match path {
        SilentPath::Direct => PROCESSOR_PAUSE,
        SilentPath::Forwarded { round_trip } => {
            2 * PROCESSOR_PAUSE + round_trip.unwrap_or(ROUND_TRIP_UNKNOWN) / 2
        }
    };
    OVERLAP_LIMIT.saturating_sub(closing)
}
