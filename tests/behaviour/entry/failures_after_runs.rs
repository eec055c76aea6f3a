//! Endpoints that run requests and answer them with a failure.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use http::HeaderValue;
use http::StatusCode;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::WEST;

/// Statuses by which clients take a request not to have run.
const IMPLYING_NO_RUN: [u16; 3] = [408, 429, 503];
const OTHERS: [u16; 4] = [404, 500, 502, 504];
const AT_MOST_ONCE: [&str; 2] = ["/book/x", "/tip-stream/x"];
const RETRYABLE: [&str; 2] = ["/read/x", "/stream/x"];

/// Two endpoints of each service, a VM beside them and one in another region.
struct TwoRegions {
    site: Site,
    local: EntryVm,
    remote: EntryVm,
}

/// An answer as its client got it.
#[derive(Debug, PartialEq)]
struct ClientAnswer {
    status: u16,
    is_signed: bool,
    retry_after: Option<HeaderValue>,
    body: String,
}

/// The answer to a request that the endpoints failed with a status.
struct Case {
    id: String,
    code: u16,
    answer: ClientAnswer,
}

impl Case {
    fn check_unchanged(&self) {
        let ClientAnswer {
            status,
            is_signed,
            body,
            ..
        } = &self.answer;
        assert_eq!((*status, *is_signed), (self.code, true), "{}", self.id);
        assert_eq!(body, "done", "{}", self.id);
    }
}

impl TwoRegions {
    async fn launch() -> Self {
        let site = Site::launch(WEST).await;
        let (near_ip, far_ip) = (new_ip(), new_ip());
        let local = EntryVm::launch(near_ip, WEST, &site.store, &[far_ip]).await;
        let remote = EntryVm::launch(far_ip, EAST, &site.store, &[near_ip]).await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        Self {
            site,
            local,
            remote,
        }
    }

    fn fail_with(&self, code: u16) {
        for endpoint in self.site.plain.iter().chain(&self.site.engines) {
            endpoint.set_faults(EndpointFaults {
                failure_status: StatusCode::from_u16(code).ok(),
                retry_after: Some(HeaderValue::from_static("0.01")),
                ..EndpointFaults::default()
            });
        }
    }

    fn vms(&self) -> [(&'static str, &EntryVm); 2] {
        [("direct", &self.local), ("forwarded", &self.remote)]
    }
}

async fn answer(vm: &EntryVm, path: &str, id: &str) -> ClientAnswer {
    let response = vm.post(path, id).send().await.expect("an answer");
    let headers = response.headers();
    let internal = headers
        .keys()
        .find(|name| name.as_str().starts_with("figramp"));
    assert_eq!(internal, None);
    ClientAnswer {
        status: response.status().as_u16(),
        is_signed: headers.contains_key("server-stamp"),
        retry_after: headers.get("retry-after").cloned(),
        body: response.text().await.expect("a body"),
    }
}

/// Lets the endpoints fail with each status, and returns the answers on each path, directly and forwarded.
async fn answers(
    regions: &TwoRegions,
    codes: impl IntoIterator<Item = u16>,
    paths: [&str; 2],
) -> Vec<Case> {
    let mut cases = Vec::new();
    for code in codes {
        regions.fail_with(code);
        for (way, vm) in regions.vms() {
            for path in paths {
                let id = format!("{way}-{code}{path}");
                let answer = answer(vm, path, &id).await;
                cases.push(Case { id, code, answer });
            }
        }
    }
    cases
}

/// Guards against a 502 that carries the signature of an endpoint that answered with 503.
#[tokio::test]
async fn a_failure_that_implies_no_run_becomes_the_gateways_own_after_a_run() {
    let regions = TwoRegions::launch().await;
    for case in answers(&regions, IMPLYING_NO_RUN, AT_MOST_ONCE).await {
        let own = ClientAnswer {
            status: 502,
            is_signed: false,
            retry_after: None,
            body: "{\"error\":\"failed\"}".to_owned(),
        };
        assert_eq!(case.answer, own, "{}", case.id);
        assert_eq!(regions.site.runs(&case.id), 1, "{}", case.id);
    }
}

#[tokio::test]
async fn any_other_failure_passes_unchanged() {
    let regions = TwoRegions::launch().await;
    for case in answers(&regions, OTHERS, AT_MOST_ONCE).await {
        case.check_unchanged();
        assert_eq!(regions.site.runs(&case.id), 1, "{}", case.id);
    }
}

#[tokio::test]
async fn all_failures_of_retryable_requests_pass_unchanged() {
    let regions = TwoRegions::launch().await;
    let codes = IMPLYING_NO_RUN.into_iter().chain(OTHERS);
    for case in answers(&regions, codes, RETRYABLE).await {
        case.check_unchanged();
    }
}
