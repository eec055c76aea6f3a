//! The HTTP routes for operators.

use std::sync::Arc;

use rocket::get;
use rocket::http::ContentType;
use rocket::http::Header;
use rocket::http::Status;
use rocket::response::content::RawHtml;
use rocket::response::Responder;
use rocket::serde::json::Json;
use rocket::Route;
use rocket::State;

use super::fleet_client::FleetClient;
use super::render::page_html;
use super::wire::AuditEntryWire;
use super::wire::AuditWire;
use super::wire::ExplanationSetWire;
use super::wire::ExplanationWire;
use super::wire::PageWire;
use super::wire::VmReportWire;
use super::FleetReport;
use super::ReportSource;
use crate::clock::Clock;
use crate::request::RequestId;

const AUDIT_MAX_ENTRIES: usize = 500;
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'";
const SCOPE_VM: &str = "vm";

/// The state that the routes share.
pub(super) struct OperatorState {
    pub(super) source: Arc<dyn ReportSource>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) fleet: FleetClient,
}

/// The HTML page with its content security policy.
#[derive(Responder)]
struct HtmlPage {
    body: RawHtml<String>,
    policy: Header<'static>,
}

impl OperatorState {
    async fn page(&self) -> PageWire {
        let local = FleetReport::from(self.source.report());
        let others = self.fleet.reports(self.source.other_vms()).await;
        let made_at = self.clock.wall_time();
        PageWire::new(&local.merge(others), made_at.unix_ms)
    }

    fn local_explanation(&self, request_id: RequestId) -> ExplanationSetWire {
        let vm = self.source.report().vm;
        let explanation = self.source.explanation(request_id);
        ExplanationSetWire {
            request_id: request_id.to_string(),
            explanations: explanation
                .iter()
                .map(|explanation| ExplanationWire::new(&vm, explanation))
                .collect(),
            missing_vms: Vec::new(),
        }
    }
}

/// Returns all routes for operators.
pub(super) fn routes() -> Vec<Route> {
    rocket::routes![html, page, report, explain, audit, metrics]
}

#[get("/")]
async fn html(state: &State<OperatorState>) -> HtmlPage {
    let page = state.page().await;
    HtmlPage {
        body: RawHtml(page_html(&page)),
        policy: Header::new("Content-Security-Policy", CONTENT_SECURITY_POLICY),
    }
}

#[get("/v1/page")]
async fn page(state: &State<OperatorState>) -> Json<PageWire> {
    Json(state.page().await)
}

#[get("/v1/report")]
fn report(state: &State<OperatorState>) -> Json<VmReportWire> {
    Json(VmReportWire::from(&state.source.report()))
}

#[get("/v1/explain/<request_id>?<scope>")]
async fn explain(
    state: &State<OperatorState>,
    request_id: &str,
    scope: Option<&str>,
) -> Result<Json<ExplanationSetWire>, Status> {
    let request_id = RequestId::from_hex(request_id).ok_or(Status::BadRequest)?;
    let local = state.local_explanation(request_id);
    if scope == Some(SCOPE_VM) {
        return Ok(Json(local));
    }
    let others = state.source.other_vms();
    let mut all = state.fleet.explanations(others, request_id).await;
    all.explanations.extend(local.explanations);
    all.explanations
        .sort_by_key(|explanation| explanation.received_at_unix_ms);
    Ok(Json(all))
}

#[get("/v1/audit?<after>")]
fn audit(state: &State<OperatorState>, after: Option<u64>) -> Json<AuditWire> {
    let after = after.unwrap_or(0);
    let entries = state.source.audit(after, AUDIT_MAX_ENTRIES);
    Json(AuditWire {
        vm: state.source.report().vm.to_string(),
        next_after: entries.last().map_or(after, |entry| entry.number),
        entries: entries.into_iter().map(AuditEntryWire::from).collect(),
    })
}

#[get("/metrics")]
fn metrics(state: &State<OperatorState>) -> (ContentType, String) {
    let content_type = ContentType::new("application", "openmetrics-text")
        .with_params([("version", "1.0.0"), ("charset", "utf-8")]);
    (content_type, state.source.metrics())
}
