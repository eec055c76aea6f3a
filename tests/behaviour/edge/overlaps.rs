//! A silent answer is given up in time for its endpoint to stop within 400 ms.

use std::time::Duration;

use figramp::edge::overlap_max;
use figramp::edge::SilentPath;

const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

/// The longest pause of a daemon under a quota of each tenth of a second.
const PAUSE: Duration = Duration::from_millis(100);

#[test]
fn the_pause_of_a_daemon_leaves_time_to_close_the_connection() {
    let overlap = overlap_max(SilentPath::Direct);
    assert!(overlap > Duration::ZERO);
    assert!(overlap + PAUSE <= OVERLAP_LIMIT);
}

#[test]
fn the_way_over_another_vm_leaves_time_for_both_pauses_and_the_link() {
    for round_trip_ms in [0, 1, 110, 200, 400, 1_000] {
        let round_trip = Duration::from_millis(round_trip_ms);
        let overlap = overlap_max(SilentPath::Forwarded {
            round_trip: Some(round_trip),
        });
        let closing = PAUSE * 2 + round_trip / 2;
        assert!(overlap.is_zero() || overlap + closing <= OVERLAP_LIMIT);
    }
}

#[test]
fn an_unknown_round_trip_counts_as_one_between_regions() {
    let between_regions = Some(Duration::from_millis(110));
    let known = overlap_max(SilentPath::Forwarded {
        round_trip: between_regions,
    });
    let unknown = overlap_max(SilentPath::Forwarded { round_trip: None });
    assert!(unknown > Duration::ZERO && unknown <= known);
}
