//! Each VM serves the merged data of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use figramp::clock::ManualClock;
use figramp::clock::Monotonic;
use figramp::clock::WallTime;
use figramp::operator::render::audit_text;
use figramp::operator::wire::AuditWire;
use figramp::operator::wire::ExplanationSetWire;
use figramp::operator::wire::PageWire;
use figramp::operator::AuditEntry;
use figramp::operator::Explanation;
use figramp::operator::ExplanationBuilder;
use figramp::operator::OperatorAddress;
use figramp::operator::OperatorServer;
use figramp::operator::ReportSource;
use figramp::operator::StepEvent;
use figramp::operator::VmReport;
use figramp::request::RequestId;
use reqwest::Response;
use tokio::net::TcpListener;

use super::fixture::answered;
use super::fixture::at;
use super::fixture::name;
use super::fixture::report;
use super::fixture::statistics_of;
use super::fixture::MIDNIGHT_MS;

struct FixedSource {
    report: VmReport,
    others: Vec<OperatorAddress>,
}

impl ReportSource for FixedSource {
    fn report(&self) -> VmReport {
        self.report.clone()
    }

    fn other_vms(&self) -> Vec<OperatorAddress> {
        self.others.clone()
    }

    fn explanation(&self, request_id: RequestId) -> Option<Explanation> {
        let received_at = Monotonic::ZERO;
        let mut builder = ExplanationBuilder::new(request_id, received_at, at(1, 0));
        builder.add(received_at, StepEvent::Queued);
        (request_id == RequestId(7)).then(|| builder.build())
    }

    fn audit(&self, after: u64, limit: usize) -> Vec<AuditEntry> {
        let entries = (after + 1..4).map(|number| AuditEntry {
            number,
            at: at(1, number),
            ticket: None,
            summary: "tried".to_owned(),
        });
        entries.take(limit).collect()
    }

    fn metrics(&self) -> String {
        "# EOF\n".to_owned()
    }
}

async fn launch(vm: &str, others: Vec<OperatorAddress>) -> OperatorServer {
    let clock = ManualClock::default();
    clock.advance(Duration::from_millis(MIDNIGHT_MS));
    let source = FixedSource {
        report: report(vm, "north", statistics_of([answered("one")])),
        others,
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = OperatorServer::launch(address, Arc::new(source), Arc::new(clock));
    server.await.unwrap()
}

fn entry(vm: &str, address: SocketAddr) -> OperatorAddress {
    OperatorAddress {
        vm: name(vm),
        address,
    }
}

async fn get(server: &OperatorServer, path: &str) -> Response {
    let url = format!("http://{}{path}", server.address());
    reqwest::get(url).await.unwrap()
}

#[tokio::test]
async fn the_page_merges_reports_and_lists_missing_vms() {
    let silent = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    let remote = launch("remote", Vec::new()).await;
    let impostor = launch("impostor", Vec::new()).await;
    let others = vec![
        entry("remote", remote.address()),
        entry("silent", silent.local_addr().unwrap()),
        entry("gone", gone),
        entry("other", impostor.address()),
    ];
    let local = launch("local", others).await;
    let page: PageWire = get(&local, "/v1/page").await.json().await.unwrap();
    assert_eq!(page.totals.answered, 2);
    assert_eq!(page.vms.len(), 2);
    assert_eq!(page.missing_vms, ["gone", "other", "silent"]);
    let html = get(&local, "/").await;
    assert!(html.headers().contains_key("content-security-policy"));
    assert!(html.text().await.unwrap().contains(&page.verdict));
}

#[tokio::test]
async fn explanations_of_all_vms_are_collected() {
    let remote = launch("remote", Vec::new()).await;
    let local = launch("local", vec![entry("remote", remote.address())]).await;
    let path = format!("/v1/explain/{}", RequestId(7));
    let set: ExplanationSetWire = get(&local, &path).await.json().await.unwrap();
    assert_eq!(set.explanations.len(), 2);
    let unknown = format!("/v1/explain/{}", RequestId(8));
    let set: ExplanationSetWire = get(&local, &unknown).await.json().await.unwrap();
    assert!(set.explanations.is_empty());
    assert_eq!(get(&local, "/v1/explain/seven").await.status(), 400);
}

#[tokio::test]
async fn the_audit_trail_continues_after_the_given_number() {
    let local = launch("local", Vec::new()).await;
    let all: AuditWire = get(&local, "/v1/audit").await.json().await.unwrap();
    assert_eq!((all.entries.len(), all.next_after), (3, 3));
    let path = format!("/v1/audit?after={}", all.next_after);
    let rest: AuditWire = get(&local, &path).await.json().await.unwrap();
    assert_eq!((rest.entries.len(), rest.next_after), (0, 3));
    assert!(audit_text(&all).contains("2026-12-04 01:00:03Z  system: tried"));
    let metrics = get(&local, "/metrics").await;
    assert_eq!(metrics.text().await.unwrap(), "# EOF\n");
}

#[test]
fn midnight_ms_is_midnight_utc() {
    let midnight = WallTime {
        unix_ms: MIDNIGHT_MS,
    };
    assert_eq!(midnight, at(0, 0));
    assert_eq!(MIDNIGHT_MS % 86_400_000, 0);
}
