//! Whether a request is served in its own region.

use figramp::deployment::RegionKey;
use figramp::placement::choose_region;
use figramp::placement::RegionChoice;
use figramp::placement::RegionOption;
use quickcheck::quickcheck;

const OTHER: RegionKey = RegionKey(1);
const TARGET_MS: f64 = 1_000.0;

fn option(expected_ms: f64, has_prefix: bool) -> RegionOption {
    RegionOption {
        region: OTHER,
        expected_ms,
        has_prefix,
    }
}

#[test]
fn a_region_that_is_on_time_serves_its_own_requests() {
    let choice = choose_region(Some(200.0), [option(20.0, false)], TARGET_MS, 0.0);
    assert_eq!(choice, RegionChoice::Local);
}

#[test]
fn a_region_at_its_peak_sends_a_part_of_its_requests_away() {
    let away = (0..100).filter(|draw| {
        let draw = f64::from(*draw) / 100.0;
        let choice = choose_region(Some(800.0), [option(200.0, false)], TARGET_MS, draw);
        choice == RegionChoice::Remote(OTHER)
    });
    assert_eq!(away.count(), 75);
}

#[test]
fn a_prompt_that_is_kept_elsewhere_is_worth_the_way() {
    let choice = choose_region(Some(300.0), [option(200.0, true)], TARGET_MS, 1.0);
    assert_eq!(choice, RegionChoice::Remote(OTHER));
}

#[test]
fn without_an_own_endpoint_another_region_serves_however_slowly() {
    let choice = choose_region(None, [option(5_000.0, false)], TARGET_MS, 1.0);
    assert_eq!(choice, RegionChoice::Remote(OTHER));
    assert_eq!(choose_region(None, [], TARGET_MS, 0.0), RegionChoice::None);
}

quickcheck! {
    fn a_slower_region_is_never_chosen(own_ms: u16, other_ms: u16, has_prefix: bool, draw: u8) -> bool {
        let (own_ms, other_ms) = (f64::from(own_ms), f64::from(other_ms));
        let draw = f64::from(draw) / 256.0;
        let choice = choose_region(Some(own_ms), [option(other_ms, has_prefix)], TARGET_MS, draw);
        choice == RegionChoice::Local || other_ms < own_ms
    }
}
