//! The statistics of client accounts, the verdict and the metrics.

use figramp::errors::ErrorKind;
use figramp::operator::FleetReport;
use figramp::operator::Verdict;
use figramp::operator::VerdictLevel;
use figramp::telemetry::AnswerTimes;
use figramp::telemetry::RateStanding;
use figramp::telemetry::RequestEnd;
use figramp::telemetry::RequestOutcome;
use figramp::telemetry::Telemetry;

use super::fixture::answered;
use super::fixture::at;
use super::fixture::report;
use super::fixture::statistics_of;

fn ended(account: &str, end: RequestEnd) -> RequestOutcome {
    RequestOutcome {
        end,
        ..answered(account)
    }
}

#[test]
fn accounts_are_sorted_by_their_share_of_failed_and_refused_requests() {
    let failed = RequestEnd::Failed(ErrorKind::EndpointFailed);
    let refused = RequestEnd::Refused(ErrorKind::Overloaded);
    let mut outcomes = vec![ended("small", refused), answered("small")];
    outcomes.extend((0..10).map(|_| answered("large")));
    outcomes.extend((0..2).map(|_| ended("large", failed)));
    outcomes.extend((0..3).map(|_| answered("well")));
    let statistics = statistics_of(outcomes);
    let order: Vec<&str> = statistics
        .worst_served_first()
        .into_iter()
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(order, ["small", "large", "well"]);
}

#[test]
fn refused_inside_rate_counts_only_capacity_refusals() {
    let refused = |kind, rate_standing| RequestOutcome {
        rate_standing,
        ..ended("one", RequestEnd::Refused(kind))
    };
    let statistics = statistics_of([
        refused(ErrorKind::RateLimited, RateStanding::Inside),
        refused(ErrorKind::NoEndpoint, RateStanding::Inside),
        refused(ErrorKind::RateLimited, RateStanding::Over),
        refused(ErrorKind::UnknownModel, RateStanding::Inside),
    ]);
    assert_eq!(statistics.total().refused_inside_rate, 2);
    assert_eq!(statistics.total().refused_count(), 4);
}

#[test]
fn statistics_restart_on_a_new_day() {
    let statistics = statistics_of([
        answered("one"),
        RequestOutcome {
            ended_at: at(24, 0),
            ..answered("one")
        },
    ]);
    assert_eq!(statistics.total().accepted, 1);
}

#[test]
fn the_verdict_names_failed_requests() {
    let verdict = |outcome| {
        let fleet = FleetReport::from(report("vm", "north", statistics_of([outcome])));
        Verdict::of(&fleet)
    };
    assert_eq!(verdict(answered("one")).level, VerdictLevel::Good);
    let truncated = RequestEnd::Failed(ErrorKind::AnswerTruncated);
    let failed = verdict(ended("one", truncated));
    assert_eq!(failed.level, VerdictLevel::Bad);
    assert_eq!(
        failed.line,
        "Not well: 1 accepted request not answered in full."
    );
    let slow = verdict(RequestOutcome {
        times: AnswerTimes {
            first_token_us: Some(900_000),
            between_tokens_us: Vec::new(),
        },
        ..answered("one")
    });
    assert_eq!(slow.level, VerdictLevel::Attention);
}

/// Records more outcomes than the queue holds before anything is read.
#[test]
fn telemetry_counts_outcomes_beyond_its_queue_capacity() {
    const OUTCOMES: u64 = 5_000;
    let telemetry = Telemetry::new(Default::default());
    for _ in 0..OUTCOMES {
        telemetry.record(answered("one"));
    }
    let stream = telemetry.open_stream();
    let statistics = telemetry.statistics(at(1, 0));
    assert_eq!(statistics.total().answered, OUTCOMES);
    let metrics = telemetry.metrics_text();
    for line in [
        "figramp_requests_total{client_account=\"one\",route=\"advice\",outcome=\"answered\"} 5000",
        "figramp_first_token_seconds_count{route=\"advice\"} 5000",
        "figramp_between_tokens_seconds_count{route=\"advice\"} 15000",
        "figramp_open_streams 1",
        "figramp_peer_message_bytes_total{direction=\"sent\",kind=\"limits\"} 0",
    ] {
        assert!(metrics.contains(line), "{line} is not in\n{metrics}");
    }
    drop(stream);
    assert_eq!(telemetry.open_stream_count(), 0);
}
