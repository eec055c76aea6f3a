//! The choice between the local region and a remote one.

use figramp::deployment::RegionKey;
use figramp::placement::choose_region;
use figramp::placement::RegionChoice;
use figramp::placement::RegionOption;
use quickcheck::quickcheck;

const REMOTE: RegionKey = RegionKey(1);
const TARGET_MS: f64 = 1_000.0;

fn option(expected_ms: f64, has_prefix: bool) -> RegionOption {
    RegionOption {
        region: REMOTE,
        expected_ms,
        has_prefix,
    }
}

#[test]
fn a_region_that_is_on_time_serves_its_requests_itself() {
    let choice = choose_region(Some(200.0), [option(20.0, false)], TARGET_MS, 0.0);
    assert_eq!(choice, RegionChoice::Local);
}

#[test]
fn a_loaded_region_forwards_a_part_of_its_requests() {
    let forwarded = (0..100).filter(|draw| {
        let draw = f64::from(*draw) / 100.0;
        let choice = choose_region(Some(800.0), [option(200.0, false)], TARGET_MS, draw);
        choice == RegionChoice::Remote(REMOTE)
    });
    assert_eq!(forwarded.count(), 75);
}

#[test]
fn a_prefix_owned_by_a_remote_region_is_worth_a_forward() {
    let choice = choose_region(Some(300.0), [option(200.0, true)], TARGET_MS, 1.0);
    assert_eq!(choice, RegionChoice::Remote(REMOTE));
}

#[test]
fn without_a_local_endpoint_a_remote_region_serves_however_slowly() {
    let choice = choose_region(None, [option(5_000.0, false)], TARGET_MS, 1.0);
    assert_eq!(choice, RegionChoice::Remote(REMOTE));
    assert_eq!(choose_region(None, [], TARGET_MS, 0.0), RegionChoice::None);
}

quickcheck! {
    fn a_slower_region_is_never_chosen(local_ms: u16, remote_ms: u16, has_prefix: bool, draw: u8) -> bool {
        let (local_ms, remote_ms) = (f64::from(local_ms), f64::from(remote_ms));
        let draw = f64::from(draw) / 256.0;
        let choice = choose_region(Some(local_ms), [option(remote_ms, has_prefix)], TARGET_MS, draw);
        choice == RegionChoice::Local || remote_ms < local_ms
    }
}
