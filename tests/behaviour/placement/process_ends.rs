//! An endpoint whose process may have ended counts as cold until that is refuted, or its next start is known.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::deployment::Deployment;
use figramp::deployment::DeploymentBuilder;
use figramp::deployment::EndpointListing;
use figramp::deployment::ServiceProfile;
use figramp::fleet::EndpointEnd;
use figramp::fleet::EndpointSighting;
use figramp::placement::AttemptOutcome;
use figramp::placement::EndpointKey;
use figramp::placement::EndpointTable;
use figramp::placement::ProcessEnd;
use figramp::placement::ProcessSighting;
use figramp::quarantine::InstanceHash;

use super::support::choose;
use super::support::service;
use crate::belief::support::at;
use crate::belief::support::listing;
use crate::fleet::support::topology;

/// When the endpoint answers again in some of these tests.
const RETURNED_AT_MS: u64 = 12_000;

const COLD_START_MS: u64 = 3_000;

/// When the listings of these tests are confirmed first, and then every second.
const LISTED_AT_MS: u64 = 10_000;

fn deployment() -> Deployment {
    let mut builder = DeploymentBuilder::new(1, figramp::deployment::ClientLimits::default());
    builder.add_service(ServiceProfile {
        name: service(),
        connections_max: 10,
        cold_start: Duration::from_millis(COLD_START_MS),
        cold_rate_per_s: 6.8,
        is_engine: true,
    });
    builder.build()
}

fn update(table: &mut EndpointTable, now: Monotonic, listing: &EndpointListing) {
    table.on_listing_confirmed(now);
    table.update(now, listing, Some(&deployment()), &topology());
}

/// Returns a table with one warm endpoint, which answered over a connection that was opened at 9 s.
fn table() -> (EndpointTable, EndpointKey) {
    let mut table = super::support::table(at(0), &[]);
    update(&mut table, at(LISTED_AT_MS), &listing(&["a"]));
    let placement = choose(&mut table, at(LISTED_AT_MS)).expect("an endpoint");
    table.on_answered_over(placement.endpoint, at(9_000), at(LISTED_AT_MS));
    (table, placement.endpoint)
}

fn is_cold(table: &EndpointTable, key: EndpointKey, ms: u64) -> bool {
    table.get(key).expect("the endpoint").is_cold(at(ms))
}

fn refuse(table: &mut EndpointTable, ms: u64) {
    let placement = choose(table, at(ms)).expect("an endpoint");
    table.on_outcome(at(ms), &placement, AttemptOutcome::ConnectionRefused);
}

fn hash(table: &EndpointTable, key: EndpointKey) -> InstanceHash {
    InstanceHash::from(&table.get(key).expect("the endpoint").record().instance)
}

fn report(table: &EndpointTable, key: EndpointKey, ended_ms: u64, is_certain: bool) -> EndpointEnd {
    EndpointEnd {
        endpoint: hash(table, key),
        end: ProcessEnd {
            at: at(ended_ms),
            is_certain,
            returned_at: None,
        },
    }
}

fn report_return(table: &EndpointTable, key: EndpointKey, ended_ms: u64) -> EndpointEnd {
    let mut reported = report(table, key, ended_ms, true);
    reported.end.returned_at = Some(at(RETURNED_AT_MS));
    reported
}

#[test]
fn an_endpoint_that_refused_a_connection_is_cold_however_long_its_outage_is() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    assert!(is_cold(&table, key, 10_101));
    assert!(is_cold(&table, key, 600_000));
}

#[test]
fn a_lost_connection_makes_an_endpoint_cold() {
    let (mut table, key) = table();
    assert!(table.on_connection_lost(at(10_100), key));
    assert!(is_cold(&table, key, 10_101));
}

#[test]
fn a_listing_that_was_confirmed_for_long_enough_ends_the_doubt() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    for ms in (11_000..15_000).step_by(1_000) {
        table.on_listing_confirmed(at(ms));
    }
    assert!(is_cold(&table, key, 15_000));
    table.on_listing_confirmed(at(15_200));
    assert!(!is_cold(&table, key, 15_200));
}

/// While the store is down, records of endpoints that ended are kept.
#[test]
fn a_listing_that_is_confirmed_again_after_a_gap_does_not_end_the_doubt() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_listing_confirmed(at(30_000));
    assert!(is_cold(&table, key, 30_000));
    for ms in (31_000..=35_000).step_by(1_000) {
        table.on_listing_confirmed(at(ms));
    }
    assert!(!is_cold(&table, key, 35_000));
}

#[test]
fn a_process_that_answers_after_an_end_is_cold_for_its_cold_start() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_answered_over(key, at(12_000), at(12_050));
    assert!(is_cold(&table, key, 12_000 + COLD_START_MS - 1));
    assert!(!is_cold(&table, key, 12_000 + COLD_START_MS));
}

#[test]
fn a_late_answer_of_a_process_that_ended_does_not_start_the_cold_time() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_answered_over(key, at(9_000), at(10_050));
    assert!(is_cold(&table, key, 60_000));
}

#[test]
fn answers_before_and_after_a_lost_connection_refute_the_end() {
    let (mut table, key) = table();
    table.on_connection_lost(at(10_100), key);
    table.on_answered_over(key, at(9_500), at(10_050));
    assert!(
        is_cold(&table, key, 10_500),
        "the request was sent before the end"
    );
    table.on_answered_over(key, at(9_500), at(10_150));
    assert!(!is_cold(&table, key, 13_000));
}

#[test]
fn answers_over_other_connections_do_not_refute_a_refused_one() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_answered_over(key, at(9_500), at(10_500));
    assert!(is_cold(&table, key, 10_500));
}

#[test]
fn a_refuted_end_does_not_shorten_an_earlier_cold_time() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_answered_over(key, at(12_000), at(12_050));
    table.on_connection_lost(at(12_500), key);
    table.on_connections_kept(key, at(12_500));
    assert!(is_cold(&table, key, 14_999));
    assert!(!is_cold(&table, key, 15_000));
}

#[test]
fn an_end_that_another_vm_saw_makes_an_endpoint_cold() {
    let (mut table, key) = table();
    let end = report(&table, key, 10_100, true);
    assert_eq!(table.on_peer_ends([end], |_, _| false), [key]);
    assert!(is_cold(&table, key, 60_000));
    assert_eq!(table.on_peer_ends([end], |_, _| false), []);
}

#[test]
fn a_kept_connection_refutes_what_another_vm_concluded_from_a_lost_one() {
    let (mut table, key) = table();
    let end = report(&table, key, 10_100, false);
    assert_eq!(table.on_peer_ends([end], |_, _| true), []);
    let end = report(&table, key, 10_100, true);
    assert_eq!(table.on_peer_ends([end], |_, _| true), [key]);
}

#[test]
fn a_return_that_another_vm_saw_starts_the_cold_time() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    let returned = report_return(&table, key, 10_100);
    table.on_peer_ends([returned], |_, _| false);
    assert!(is_cold(&table, key, 14_999));
    assert!(!is_cold(&table, key, 15_000));
}

#[test]
fn an_older_return_does_not_end_the_doubt_about_a_later_end() {
    let (mut table, key) = table();
    refuse(&mut table, 14_000);
    let returned = report_return(&table, key, 10_100);
    table.on_peer_ends([returned], |_, _| false);
    assert!(is_cold(&table, key, 60_000));
}

/// VMs observe an end at different times.
#[test]
fn an_end_that_comes_back_later_is_not_taken_for_another_one() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    table.on_answered_over(key, at(12_000), at(12_050));
    let echo = report_return(&table, key, 10_400);
    assert_eq!(table.on_peer_ends([echo], |_, _| false), []);
    assert!(!is_cold(&table, key, 15_000));
}

#[test]
fn a_sighting_of_another_vm_refutes_a_lost_connection() {
    let (mut table, key) = table();
    table.on_connection_lost(at(10_100), key);
    let seen = |seen_ms| EndpointSighting {
        endpoint: hash(&table, key),
        sighting: ProcessSighting {
            since: at(8_000),
            seen_at: at(seen_ms),
        },
    };
    let (early, late) = (seen(10_050), seen(10_150));
    table.on_peer_sightings([early]);
    assert!(is_cold(&table, key, 12_000));
    table.on_peer_sightings([late]);
    assert!(!is_cold(&table, key, 12_000));
}

#[test]
fn a_new_start_in_the_listing_ends_the_doubt() {
    let (mut table, key) = table();
    refuse(&mut table, 10_100);
    let mut restarted = listing(&["a"]);
    restarted.endpoints[0].instance.started_unix_ms += 1;
    update(&mut table, at(13_000), &restarted);
    assert!(table.get(key).is_none());
    let placement = choose(&mut table, at(13_000)).expect("an endpoint");
    assert!(!is_cold(&table, placement.endpoint, 13_000));
}

#[test]
fn an_end_that_is_newer_than_the_listing_holds_for_the_start_that_it_names() {
    let (mut table, _) = table();
    refuse(&mut table, 13_100);
    let mut restarted = listing(&["a"]);
    restarted.endpoints[0].instance.started_unix_ms += 1;
    update(&mut table, at(13_000), &restarted);
    let placement = choose(&mut table, at(13_200)).expect("an endpoint");
    assert!(is_cold(&table, placement.endpoint, 13_200));
}

#[test]
fn an_end_after_the_choice_of_an_endpoint_is_seen_before_the_request_is_sent() {
    let (mut table, key) = table();
    assert!(!table.may_have_ended_since(key, at(10_050)));
    table.on_connection_lost(at(10_100), key);
    assert!(table.may_have_ended_since(key, at(10_050)));
    assert!(!table.may_have_ended_since(key, at(10_150)));
}

#[test]
fn ends_that_rest_on_a_lost_connection_are_published_after_the_others_had_time_to_close() {
    let (mut table, key) = table();
    table.on_connection_lost(at(10_100), key);
    assert!(table.ends(at(10_120)).is_empty());
    assert_eq!(table.ends(at(10_160)), [report(&table, key, 10_100, false)]);
}

#[test]
fn a_process_that_refutes_an_end_observed_late_is_cold_from_its_own_start() {
    let (mut table, key) = table();
    table.on_connection_lost(at(11_200), key);
    table.on_peer_sightings([EndpointSighting {
        endpoint: hash(&table, key),
        sighting: ProcessSighting {
            since: at(10_200),
            seen_at: at(11_600),
        },
    }]);
    assert!(is_cold(&table, key, 13_199));
    assert!(!is_cold(&table, key, 13_200));
}

#[test]
fn a_return_after_an_end_that_is_not_certain_is_refuted_by_a_kept_connection() {
    let (mut table, key) = table();
    let mut returned = report(&table, key, 10_100, false);
    returned.end.returned_at = Some(at(10_200));
    assert_eq!(table.on_peer_ends([returned], |_, _| true), []);
    assert!(!is_cold(&table, key, 10_300));
}

#[test]
fn a_sighting_refutes_a_return_after_an_end_that_is_not_certain() {
    let (mut table, key) = table();
    table.on_connection_lost(at(10_100), key);
    table.on_answered_over(key, at(10_200), at(10_250));
    assert!(is_cold(&table, key, 12_500));
    table.on_peer_sightings([EndpointSighting {
        endpoint: hash(&table, key),
        sighting: ProcessSighting {
            since: at(7_000),
            seen_at: at(10_300),
        },
    }]);
    assert!(!is_cold(&table, key, 12_500));
}

#[test]
fn an_endpoint_that_refuses_connections_again_right_after_its_return_is_cold() {
    let (mut table, key) = table();
    table.on_peer_ends([report_return(&table, key, 10_100)], |_, _| false);
    let again = report(&table, key, RETURNED_AT_MS + 300, true);
    assert_eq!(table.on_peer_ends([again], |_, _| false), [key]);
    table.on_peer_ends([report_return(&table, key, 10_100)], |_, _| false);
    assert!(is_cold(&table, key, 60_000));
}

#[test]
fn an_end_that_the_record_of_a_new_start_may_not_know_holds_for_it() {
    let (mut table, _) = table();
    refuse(&mut table, 12_900);
    let mut restarted = listing(&["a"]);
    restarted.endpoints[0].instance.started_unix_ms += 1;
    update(&mut table, at(13_000), &restarted);
    let placement = choose(&mut table, at(13_200)).expect("an endpoint");
    assert!(is_cold(&table, placement.endpoint, 60_000));
}
