//! Any VM serves the page of all of them.

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
async fn the_page_merges_those_that_answer_and_names_the_others() {
    let silent = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let gone = SocketAddr::from(([127, 0, 0, 1], 1));
    let far = launch("far", Vec::new()).await;
    let impostor = launch("impostor", Vec::new()).await;
    let others = vec![
        entry("far", far.address()),
        entry("silent", silent.local_addr().unwrap()),
        entry("gone", gone),
        entry("other", impostor.address()),
    ];
    let near = launch("near", others).await;
    let page: PageWire = get(&near, "/v1/page").await.json().await.unwrap();
    assert_eq!(page.totals.answered, 2);
    assert_eq!(page.vms.len(), 2);
    assert_eq!(page.missing_vms, ["gone", "other", "silent"]);
    let html = get(&near, "/").await;
    assert!(html.headers().contains_key("content-security-policy"));
    assert!(html.text().await.unwrap().contains(&page.verdict));
}

#[tokio::test]
async fn a_request_is_explained_by_all_vms_that_saw_it() {
    let far = launch("far", Vec::new()).await;
    let near = launch("near", vec![entry("far", far.address())]).await;
    let path = format!("/v1/explain/{}", RequestId(7));
    let set: ExplanationSetWire = get(&near, &path).await.json().await.unwrap();
    assert_eq!(set.explanations.len(), 2);
    let unknown = format!("/v1/explain/{}", RequestId(8));
    let set: ExplanationSetWire = get(&near, &unknown).await.json().await.unwrap();
    assert!(set.explanations.is_empty());
    assert_eq!(get(&near, "/v1/explain/seven").await.status(), 400);
}

#[tokio::test]
async fn the_audit_trail_goes_on_where_it_stopped() {
    let near = launch("near", Vec::new()).await;
    let all: AuditWire = get(&near, "/v1/audit").await.json().await.unwrap();
    assert_eq!((all.entries.len(), all.next_after), (3, 3));
    let path = format!("/v1/audit?after={}", all.next_after);
    let rest: AuditWire = get(&near, &path).await.json().await.unwrap();
    assert_eq!((rest.entries.len(), rest.next_after), (0, 3));
    assert!(audit_text(&all).contains("2026-12-04 01:00:03Z  system: tried"));
    let metrics = get(&near, "/metrics").await;
    assert_eq!(metrics.text().await.unwrap(), "# EOF\n");
}

#[test]
fn midnight_is_midnight() {
    let midnight = WallTime {
        unix_ms: MIDNIGHT_MS,
    };
    assert_eq!(midnight, at(0, 0));
    assert_eq!(MIDNIGHT_MS % 86_400_000, 0);
}
