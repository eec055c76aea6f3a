//! Endpoints that fail are taken out, probed once and taken back.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::errors::RunState;
use figramp::request::Usage;
use figramp::routing::EndpointEvent;
use figramp::routing::EndpointFailure;
use figramp::routing::EndpointLoad;
use figramp::routing::Exclusion;
use figramp::routing::Health;

use super::load_reports::Site;

const START: Monotonic = Monotonic::from_ms(10_000);

fn fail(site: &Site, load: &EndpointLoad, now: Monotonic) -> Option<EndpointEvent> {
    let attempt = load.on_sent(now, &site.call);
    load.on_failed(now, attempt, EndpointFailure::Broken)
}

/// Fails three requests, so that the breaker opens; returns when the endpoint may be probed.
fn take_out(site: &Site, load: &EndpointLoad) -> Monotonic {
    let events: Vec<_> = (0..3).filter_map(|_| fail(site, load, START)).collect();
    assert!(matches!(events[..], [EndpointEvent::TakenOut { .. }]));
    let Health::CoolingDown { until } = load.health(START) else {
        panic!("the endpoint is not cooling down");
    };
    until
}

#[test]
fn a_failing_endpoint_is_taken_out_and_the_refusal_says_when_to_retry() {
    let mut site = Site::new();
    for endpoint in ["north-tips-0", "north-tips-1", "south-tips-0"] {
        take_out(&site, site.load(endpoint));
    }
    let refusal = site.choose(START).unwrap_err();
    let excluded = &refusal.explanation.excluded_endpoints;
    assert!(excluded
        .iter()
        .all(|endpoint| endpoint.exclusion == Exclusion::CoolingDown));
    let retry_after = refusal.retry_after;
    assert!(site.choose(START + retry_after).is_ok());
    let error = GatewayError::from(refusal);
    assert_eq!(error.kind, ErrorKind::NoEndpoint);
    assert_eq!(error.run, RunState::NotRun);
    assert_eq!(error.retry_after, Some(retry_after));
}

#[test]
fn one_probe_at_a_time_decides_whether_the_endpoint_is_taken_back() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    let until = take_out(&site, load);
    assert_eq!(load.health(until), Health::Probing);
    let probe = load.on_sent(until, &site.call);
    assert!(matches!(load.health(until), Health::CoolingDown { .. }));
    let event = load.on_failed(until, probe, EndpointFailure::Silent);
    assert!(matches!(event, Some(EndpointEvent::TakenOut { .. })));
    let Health::CoolingDown { until: later } = load.health(until) else {
        panic!("the endpoint is not cooling down after the failed probe");
    };
    assert!(later.since(until) > until.since(START));
    let probe = load.on_sent(later, &site.call);
    let event = load.on_done(later, probe, Usage::default());
    assert_eq!(event, Some(EndpointEvent::TakenBack));
    assert_eq!(load.health(later), Health::Up);
}

#[test]
fn refusals_and_cancelled_calls_take_no_endpoint_out() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    for failure in [EndpointFailure::Refused, EndpointFailure::Unrelated] {
        for _ in 0..10 {
            let attempt = load.on_sent(START, &site.call);
            assert_eq!(load.on_failed(START, attempt, failure), None);
        }
    }
    assert_eq!(load.health(START), Health::Up);
    assert_eq!(load.local_requests(), 0);
    assert_eq!(load.pending_prompt_tokens(), 0);
}

#[test]
fn a_probe_that_never_ends_is_followed_by_another() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    let until = take_out(&site, load);
    let _lost = load.on_sent(until, &site.call);
    assert_eq!(
        load.health(until + Duration::from_secs(60)),
        Health::Probing
    );
}
