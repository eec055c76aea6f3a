//! Endpoints whose software version is not certain take streams that have begun only after they confirmed it.

use figramp::clock::Monotonic;
use figramp::deployment::SoftwareVersion;
use figramp::placement::AttemptOutcome;
use figramp::placement::EndpointKey;
use figramp::placement::EndpointTable;
use figramp::placement::NoPlacement;
use figramp::placement::Placement;
use figramp::placement::PlacementQuery;
use figramp::placement::VersionConstraint;

use super::support::half_share;
use super::support::query;
use super::support::service;
use super::support::table;
use super::support::update;
use crate::belief::support::at;
use crate::belief::support::listing;

/// When the listing of these tests was confirmed.
const LISTED_AT_MS: u64 = 10_000;

/// When it does not show versions any more.
const STALE_AT_MS: u64 = 16_000;

/// The start of all endpoints by their records.
const STARTED_UNIX_MS: u64 = 1;

fn listed(ids: &[&str]) -> EndpointTable {
    let mut table = table(at(LISTED_AT_MS), ids);
    table.on_listing_confirmed(at(LISTED_AT_MS));
    table
}

fn choose(
    table: &mut EndpointTable,
    now: Monotonic,
    version: Option<&str>,
) -> Result<Placement, NoPlacement> {
    let service = service();
    let version = version.map(|version| VersionConstraint {
        version: SoftwareVersion::from_name(version).expect("a version"),
        listing_confirmed_at: at(LISTED_AT_MS),
    });
    let query = PlacementQuery {
        version,
        ..query(&service, &[])
    };
    table.choose(now, &query, 0.0, half_share)
}

fn chosen(table: &mut EndpointTable, ms: u64) -> Option<EndpointKey> {
    let placement = choose(table, at(ms), Some("v1"));
    placement.ok().map(|placement| placement.endpoint)
}

/// Returns whether the version of an endpoint is certain.
fn is_certain(table: &EndpointTable, key: EndpointKey, ms: u64) -> bool {
    let state = table.get(key).expect("the endpoint");
    state.software_version(at(ms), at(LISTED_AT_MS)).is_some()
}

#[test]
fn a_stale_listing_leaves_endpoints_that_can_confirm_their_version() {
    let mut table = listed(&["a"]);
    let key = chosen(&mut table, LISTED_AT_MS).expect("an endpoint");
    assert!(is_certain(&table, key, LISTED_AT_MS));
    assert!(!is_certain(&table, key, STALE_AT_MS));
    assert_eq!(chosen(&mut table, STALE_AT_MS), Some(key));
}

#[test]
fn an_endpoint_of_another_version_is_not_asked() {
    let mut table = listed(&["a"]);
    assert!(choose(&mut table, at(STALE_AT_MS), Some("v2")).is_err());
}

#[test]
fn an_endpoint_whose_record_names_no_start_is_not_asked() {
    let mut listing = listing(&["a"]);
    listing.endpoints[0].instance.started_unix_ms = 0;
    let mut table = table(at(LISTED_AT_MS), &[]);
    update(&mut table, at(LISTED_AT_MS), &listing);
    assert!(chosen(&mut table, LISTED_AT_MS).is_some());
    assert_eq!(chosen(&mut table, STALE_AT_MS), None);
}

#[test]
fn an_endpoint_whose_version_is_certain_goes_first() {
    let mut table = listed(&["a", "b"]);
    let ended = chosen(&mut table, LISTED_AT_MS).expect("an endpoint");
    let placement = choose(&mut table, at(LISTED_AT_MS), None).expect("an endpoint");
    assert_eq!(placement.endpoint, ended);
    table.on_outcome(at(10_100), &placement, AttemptOutcome::ConnectionRefused);
    table.on_answered_over(ended, at(12_000), at(12_050));
    assert!(!is_certain(&table, ended, 13_000));
    let other = chosen(&mut table, 13_000).expect("an endpoint");
    assert_ne!(other, ended);
}

#[test]
fn an_endpoint_whose_version_is_not_certain_goes_before_a_busy_one() {
    let mut table = listed(&["a", "b"]);
    let placement = choose(&mut table, at(LISTED_AT_MS), None).expect("an endpoint");
    let ended = placement.endpoint;
    table.on_connection_lost(at(10_100), ended);
    table.on_answered_over(ended, at(10_150), at(10_200));
    let other = chosen(&mut table, 10_300).expect("an endpoint");
    let busy = choose(&mut table, at(10_300), Some("v1")).expect("an endpoint");
    for _ in 0..8 {
        table.on_sent(at(10_300), &busy);
    }
    assert_ne!(other, ended);
    assert_eq!(chosen(&mut table, 10_400), Some(ended));
}

#[test]
fn a_process_is_known_over_connections_opened_until_it_was_last_seen() {
    let mut table = listed(&["a"]);
    let key = chosen(&mut table, LISTED_AT_MS).expect("an endpoint");
    assert!(!table.is_reached_by(key, at(9_000)));
    table.on_report(key, at(16_000), Some(STARTED_UNIX_MS));
    assert!(table.is_reached_by(key, at(9_000)));
    assert!(table.is_reached_by(key, at(16_000)));
    assert!(!table.is_reached_by(key, at(16_001)));
    table.on_answered_over(key, at(15_000), at(17_000));
    assert!(table.is_reached_by(key, at(17_000)));
    table.on_answered_over(key, at(18_000), at(18_100));
    assert!(!table.is_reached_by(key, at(18_000)));
}

#[test]
fn an_endpoint_that_started_again_by_its_report_takes_no_stream_that_has_begun() {
    let mut table = listed(&["a"]);
    let key = chosen(&mut table, LISTED_AT_MS).expect("an endpoint");
    table.on_report(key, at(10_100), Some(STARTED_UNIX_MS));
    table.on_report(key, at(10_200), Some(STARTED_UNIX_MS + 1));
    assert!(!table.is_reached_by(key, at(10_050)));
    assert!(!is_certain(&table, key, 10_300));
    assert_eq!(chosen(&mut table, 10_300), None);
    assert!(choose(&mut table, at(10_300), None).is_ok());
    assert_eq!(chosen(&mut table, STALE_AT_MS), None);
}

#[test]
fn an_endpoint_without_a_report_is_asked_again_after_a_pause() {
    let mut table = listed(&["a"]);
    let key = chosen(&mut table, STALE_AT_MS).expect("an endpoint");
    table.on_report(key, at(STALE_AT_MS), None);
    assert_eq!(chosen(&mut table, STALE_AT_MS + 999), None);
    assert_eq!(chosen(&mut table, STALE_AT_MS + 1_000), Some(key));
}
