//! Sample reports.

use figramp::catalog::Name;
use figramp::catalog::TicketNumber;
use figramp::clock::WallTime;
use figramp::errors::ErrorKind;
use figramp::operator::ChangeReport;
use figramp::operator::EndpointReport;
use figramp::operator::EndpointState;
use figramp::operator::FleetReport;
use figramp::operator::LimitReport;
use figramp::operator::VmReport;
use figramp::operator::VmState;
use figramp::telemetry::Absorb;
use figramp::telemetry::AnswerTimes;
use figramp::telemetry::BookingOutcome;
use figramp::telemetry::DayStatistics;
use figramp::telemetry::RateStanding;
use figramp::telemetry::RequestEnd;
use figramp::telemetry::RequestOutcome;
use figramp::telemetry::ServedIn;

/// 2026-12-04 00:00 UTC.
pub const MIDNIGHT_MS: u64 = 1_796_342_400_000;
pub const HOUR_MS: u64 = 3_600_000;

pub fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

pub fn at(hour: u64, second: u64) -> WallTime {
    WallTime {
        unix_ms: MIDNIGHT_MS + hour * HOUR_MS + second * 1_000,
    }
}

/// The outcome of a request of `account` that was answered in full at midnight.
pub fn answered(account: &str) -> RequestOutcome {
    RequestOutcome {
        ended_at: at(0, 0),
        client_account: Some(name(account)),
        route: Some(name("advice")),
        end: RequestEnd::Answered,
        rate_standing: RateStanding::Inside,
        served_in: ServedIn::LocalRegion,
        tokens: 120,
        times: AnswerTimes {
            first_token_us: Some(180_000),
            between_tokens_us: vec![21_000, 24_000, 33_000],
        },
        booking: None,
    }
}

pub fn statistics_of(outcomes: impl IntoIterator<Item = RequestOutcome>) -> DayStatistics {
    let mut statistics = DayStatistics::default();
    for outcome in outcomes {
        statistics.absorb(outcome);
    }
    statistics
}

/// A day on which accepted requests of `nursery-toowoomba` fail.
pub fn eventful_day() -> DayStatistics {
    let mut outcomes = Vec::new();
    for (index, account) in ["bloomplan", "nursery-toowoomba", "soil-deliveries"]
        .into_iter()
        .cycle()
        .enumerate()
        .take(2_400)
    {
        let index = u64::try_from(index).unwrap();
        let mut outcome = answered(account);
        outcome.ended_at = at(index * 10 / 1_200, index % 60);
        outcome.times.first_token_us = Some(120_000 + index % 97 * 4_000);
        if index % 6 == 0 {
            outcome.served_in = ServedIn::OtherRegion;
        }
        match index % 240 {
            7 if account == "nursery-toowoomba" => {
                outcome.end = RequestEnd::Failed(ErrorKind::AnswerTruncated);
            }
            25 | 49 => {
                outcome.end = RequestEnd::Refused(ErrorKind::RateLimited);
                outcome.rate_standing = RateStanding::Over;
                outcome.tokens = 0;
                outcome.times = AnswerTimes::default();
            }
            73 => {
                outcome.end = RequestEnd::Refused(ErrorKind::Overloaded);
                outcome.tokens = 0;
                outcome.times = AnswerTimes::default();
            }
            100 => outcome.end = RequestEnd::Cancelled,
            _ => {}
        }
        if account == "soil-deliveries" {
            outcome.booking = Some(match index % 90 {
                2 => BookingOutcome::Repeated,
                _ => BookingOutcome::Run,
            });
        }
        outcomes.push(outcome);
    }
    outcomes.push(RequestOutcome {
        client_account: None,
        end: RequestEnd::Refused(ErrorKind::InvalidKey),
        rate_standing: RateStanding::Unknown,
        tokens: 0,
        times: AnswerTimes::default(),
        ..answered("unused")
    });
    statistics_of(outcomes)
}

pub fn report(vm: &str, region: &str, statistics: DayStatistics) -> VmReport {
    let endpoint = |number: u64, state| EndpointReport {
        endpoint: name(&format!("{region}-engine-{number}")),
        region: name(region),
        state,
        running: 3 + number,
        concurrency: 16,
    };
    let limit = |account, burst_tokens| LimitReport {
        client_account: name(account),
        rate_tokens_per_s: 2_000,
        burst_tokens,
        held_tokens: burst_tokens / 10,
    };
    VmReport {
        vm: name(vm),
        region: name(region),
        state: VmState::Serving,
        ticket_in_force: TicketNumber(4_711),
        made_at: at(21, 0),
        open_streams: 14,
        notices: Vec::new(),
        statistics,
        endpoints: vec![
            endpoint(1, EndpointState::Active),
            endpoint(2, EndpointState::Active),
        ],
        limits: vec![
            limit("bloomplan", 40_000),
            limit("nursery-toowoomba", 20_000),
            limit("soil-deliveries", 8_000),
        ],
        changes: vec![ChangeReport {
            at: at(20, 10),
            ticket: Some(TicketNumber(4_711)),
            summary: "client account bloomplan: rate 2,000 tokens/s".to_owned(),
        }],
    }
}

/// The merged report of three VMs, one of them behind in configuration, and of a missing one.
pub fn fleet() -> FleetReport {
    let mut behind = report("sydney-2", "sydney", DayStatistics::default());
    behind.ticket_in_force = TicketNumber(4_709);
    behind.notices = vec!["no peer answered at boot; started from the service alone".to_owned()];
    behind.changes = vec![ChangeReport {
        at: at(20, 31),
        ticket: None,
        summary: "endpoint sydney-engine-2 left out: no answer for 5 s".to_owned(),
    }];
    behind.endpoints[1].state = EndpointState::Unreachable;
    let mut second = report("brisbane-2", "brisbane", DayStatistics::default());
    second.changes[0].at = at(20, 11);
    [
        report("brisbane-1", "brisbane", eventful_day()).into(),
        second.into(),
        behind.into(),
        FleetReport::missing(name("townsville-1")),
    ]
    .into_iter()
    .fold(FleetReport::default(), FleetReport::merge)
}
