//! Bookings whose endpoint ends its answer before it has taken the whole upload, or answers without a valid status.

use std::time::Duration;

use figramp::demo::Deployment;
use figramp::demo::DeploymentPlan;
use serde_json::json;
use tokio::time::sleep;

use super::support::booking;
use super::support::launch;
use super::support::wait_until;
use crate::entry::early_endpoint::EarlyAnswer;
use crate::entry::early_endpoint::EarlyEnd;
use crate::entry::early_endpoint::EarlyEndpoint;

/// An upload just under the limit for bodies.
const UPLOAD_BYTES: usize = 4_100_000;

const ATTEMPTS_MAX: u32 = 25;
const PAUSE: Duration = Duration::from_millis(200);

/// The region of the endpoint and of the first VM; the last VM is of another one.
const REGION: &str = "brisbane";

/// Books until the home of the booking is settled after the publication, and returns the status and the body.
async fn booking_answer(deployment: &Deployment, vm: usize) -> (u16, String) {
    let body = "x".repeat(UPLOAD_BYTES);
    for attempt in 0..ATTEMPTS_MAX {
        let id = format!("truck-{vm}-{attempt}");
        let response = booking(deployment, vm, &id, &body).send().await;
        let response = response.expect("the VM answers");
        let status = response.status().as_u16();
        let text = response.text().await.expect("a whole body");
        if !text.contains("record_unacknowledged") {
            return (status, text);
        }
        sleep(PAUSE).await;
    }
    panic!("the home of the booking is not settled");
}

async fn check(answer: EarlyAnswer) {
    let mut plan = DeploymentPlan::three_regions();
    for region in &mut plan.regions {
        region.service_count = 0;
    }
    let mut deployment = launch(&plan).await;
    let early = EarlyEndpoint::launch(answer).await;
    deployment.publish(vec![json!({
        "kind": "endpoint", "name": "early",
        "value": {
            "kind": "service", "address": early.address(), "region": REGION,
            "availability_zone": format!("{REGION}-a"), "routes": ["bookings"], "state": "active",
            "concurrency": 16, "checks_fencing": true,
        },
    })]);
    let vms = [0, deployment.vms.len() - 1];
    for (index, vm) in vms.into_iter().enumerate() {
        let context = deployment.vms[vm].daemon.context();
        wait_until(|| {
            let catalog = context.blackboard.catalog.load();
            let mut endpoints = catalog.endpoints.values();
            endpoints.any(|endpoint| endpoint.address == early.address())
        })
        .await;
        let (status, text) = booking_answer(&deployment, vm).await;
        assert_eq!(status, 502, "{answer:?}, VM {vm}: {text}");
        assert_eq!(
            early.total_arrival_count(),
            index + 1,
            "{answer:?}, VM {vm}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_a_reset_answer_without_length_is_no_success_here_or_in_another_region() {
    check(EarlyAnswer {
        status_line: "HTTP/1.1 200 OK",
        framing: "",
        body: "do",
        end: EarlyEnd::LateReset,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_a_half_closed_answer_without_length_is_no_success_here_or_in_another_region() {
    check(EarlyAnswer {
        status_line: "HTTP/1.1 200 OK",
        framing: "",
        body: "do",
        end: EarlyEnd::HalfClose,
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_answer_here_or_in_another_region_has_a_status_that_is_none() {
    for status_line in ["HTTP/1.1 000 OK", "HTTP/1.1 101 OK"] {
        check(EarlyAnswer {
            status_line,
            framing: "Content-Length: 4\r\n",
            body: "done",
            end: EarlyEnd::LateReset,
        })
        .await;
    }
}
