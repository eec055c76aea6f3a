//! Measures the cost of statistics and of the operators' page, over growing numbers of client
//! accounts.

use std::hint::black_box;

use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use figramp::catalog::Name;
use figramp::catalog::TicketNumber;
use figramp::clock::WallTime;
use figramp::operator::wire::PageWire;
use figramp::operator::wire::VmReportWire;
use figramp::operator::FleetReport;
use figramp::operator::VmReport;
use figramp::operator::VmState;
use figramp::telemetry::Absorb;
use figramp::telemetry::AnswerTimes;
use figramp::telemetry::DayStatistics;
use figramp::telemetry::RateStanding;
use figramp::telemetry::RequestEnd;
use figramp::telemetry::RequestOutcome;
use figramp::telemetry::ServedIn;
use figramp::telemetry::Telemetry;

const ACCOUNT_COUNTS: [u64; 3] = [5, 65, 650];
const REQUESTS_PER_ACCOUNT: u64 = 200;
const TOKENS_PER_ANSWER: u32 = 200;

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

/// Returns the outcome of a request whose latencies vary by about a factor of ten with `number`.
fn outcome(account: u64, number: u64) -> RequestOutcome {
    let spread = u32::try_from(number * 7_919 % 1_000).unwrap_or(0);
    let gaps = (0..TOKENS_PER_ANSWER).map(|token| 8_000 + (token * 37 + spread * 61) % 60_000);
    RequestOutcome {
        ended_at: WallTime::default(),
        client_account: Some(name(&format!("account-{account}"))),
        route: Some(name("route")),
        end: RequestEnd::Answered,
        rate_standing: RateStanding::Inside,
        served_in: ServedIn::LocalRegion,
        tokens: 700,
        times: AnswerTimes {
            first_token_us: Some(u64::from(60_000 + spread * 600)),
            between_tokens_us: gaps.collect(),
        },
        booking: None,
    }
}

fn report(vm: &str, accounts: u64) -> VmReport {
    let mut statistics = DayStatistics::default();
    for account in 0..accounts {
        for number in 0..REQUESTS_PER_ACCOUNT {
            statistics.absorb(outcome(account, number));
        }
    }
    VmReport {
        vm: name(vm),
        region: name("region"),
        state: VmState::Serving,
        ticket_in_force: TicketNumber(1),
        made_at: WallTime::default(),
        open_streams: 0,
        notices: Vec::new(),
        statistics,
        endpoints: Vec::new(),
        limits: Vec::new(),
        changes: Vec::new(),
    }
}

fn read_and_merge(fleet: FleetReport, json: &[u8]) -> FleetReport {
    let wire: VmReportWire = serde_json::from_slice(json).expect("the report was just serialized");
    let report = VmReport::try_from(wire).expect("the report was just serialized");
    fleet.merge(report.into())
}

fn operator_page(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("operator_page");
    group.sample_size(10);
    for accounts in ACCOUNT_COUNTS {
        let local = FleetReport::from(report("near", accounts));
        let remote = VmReportWire::from(&report("far", accounts));
        let json = serde_json::to_vec(&remote).expect("a report is valid JSON");
        println!("report of {accounts} accounts: {} bytes", json.len());
        group.throughput(Throughput::Elements(accounts));
        let id = BenchmarkId::new("read_and_merge_report", accounts);
        group.bench_function(id, |b| {
            b.iter_batched(
                || local.clone(),
                |fleet| read_and_merge(fleet, &json),
                criterion::BatchSize::LargeInput,
            );
        });
        group.bench_function(BenchmarkId::new("make_page", accounts), |b| {
            b.iter(|| PageWire::new(black_box(&local), 0));
        });
    }
    group.throughput(Throughput::Elements(1));
    let telemetry = Telemetry::new(Default::default());
    group.bench_function("record_answer_of_200_tokens", |b| {
        b.iter_batched(
            || outcome(1, 1),
            |outcome| telemetry.record(outcome),
            criterion::BatchSize::SmallInput,
        );
    });
    group.finish();
}

criterion_group!(benches, operator_page);
criterion_main!(benches);
