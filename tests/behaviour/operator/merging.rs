//! Merging does not depend on the order of reports, and reports round-trip through JSON.

use figramp::catalog::TicketNumber;
use figramp::errors::ErrorKind;
use figramp::operator::wire::VmReportWire;
use figramp::operator::EndpointState;
use figramp::operator::FleetReport;
use figramp::operator::VmReport;
use figramp::telemetry::AnswerTimes;
use figramp::telemetry::BookingOutcome;
use figramp::telemetry::RateStanding;
use figramp::telemetry::RequestEnd;
use figramp::telemetry::RequestOutcome;
use figramp::telemetry::ServedIn;
use quickcheck::quickcheck;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use super::fixture::at;
use super::fixture::name;
use super::fixture::report;
use super::fixture::statistics_of;

#[derive(Clone, Debug)]
struct AnyOutcome(RequestOutcome);

#[derive(Clone, Debug)]
struct AnyReport(VmReport);

impl Arbitrary for AnyOutcome {
    fn arbitrary(g: &mut Gen) -> Self {
        let kind = *g.choose(&ErrorKind::ALL).unwrap();
        let ends = [
            RequestEnd::Answered,
            RequestEnd::Refused(kind),
            RequestEnd::Failed(kind),
            RequestEnd::Cancelled,
        ];
        let bookings = [
            None,
            Some(BookingOutcome::Run),
            Some(BookingOutcome::Repeated),
            Some(BookingOutcome::Unknown),
        ];
        let day = u64::from(u8::arbitrary(g) % 8 == 0);
        Self(RequestOutcome {
            ended_at: at(day * 24 + u64::arbitrary(g) % 24, 0),
            client_account: g
                .choose(&[None, Some("one"), Some("two")])
                .unwrap()
                .map(name),
            route: None,
            end: *g.choose(&ends).unwrap(),
            rate_standing: *g
                .choose(&[RateStanding::Inside, RateStanding::Over])
                .unwrap(),
            served_in: *g
                .choose(&[ServedIn::LocalRegion, ServedIn::OtherRegion])
                .unwrap(),
            tokens: u32::arbitrary(g).into(),
            times: AnswerTimes {
                first_token_us: Option::<u32>::arbitrary(g).map(u64::from),
                between_tokens_us: Vec::arbitrary(g),
            },
            booking: *g.choose(&bookings).unwrap(),
        })
    }
}

impl Arbitrary for AnyReport {
    fn arbitrary(g: &mut Gen) -> Self {
        let outcomes = Vec::<AnyOutcome>::arbitrary(g);
        let statistics = statistics_of(outcomes.into_iter().map(|any| any.0));
        let region = *g.choose(&["north", "south"]).unwrap();
        let mut report = report("unnamed", region, statistics);
        report.ticket_in_force = TicketNumber(u64::arbitrary(g) % 4);
        let states = [EndpointState::Active, EndpointState::Unreachable];
        report.endpoints[0].state = *g.choose(&states).unwrap();
        report.endpoints[0].endpoint = name("shared");
        report.changes[0].at = at(u64::arbitrary(g) % 24, 0);
        Self(report)
    }
}

fn fleet_of(vm: &str, any: &AnyReport) -> FleetReport {
    let mut report = any.0.clone();
    report.vm = name(vm);
    report.into()
}

quickcheck! {
    fn merging_is_commutative(a: AnyReport, b: AnyReport) -> bool {
        let (a, b) = (fleet_of("a", &a), fleet_of("b", &b));
        a.clone().merge(b.clone()) == b.merge(a)
    }

    fn merging_is_associative(a: AnyReport, b: AnyReport, c: AnyReport) -> bool {
        let (a, b, c) = (fleet_of("a", &a), fleet_of("b", &b), fleet_of("c", &c));
        let left = a.clone().merge(b.clone()).merge(c.clone());
        left == a.merge(b.merge(c))
    }

    fn reports_round_trip_through_json(any: AnyReport) -> bool {
        let json = serde_json::to_vec(&VmReportWire::from(&any.0)).unwrap();
        let wire: VmReportWire = serde_json::from_slice(&json).unwrap();
        VmReport::try_from(wire).as_ref() == Ok(&any.0)
    }
}
