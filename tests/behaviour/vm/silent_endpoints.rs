//! Sound endpoints that are silent for longer than the timeouts of their routes, and then go on.

use std::time::Duration;
use std::time::Instant;

use figramp::catalog::TicketNumber;
use figramp::demo::DeploymentPlan;
use figramp::routing::Health;
use futures::future::join_all;
use reqwest::Response;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use super::support::booking;
use super::support::completion;
use super::support::executions;
use super::support::launch;
use super::support::numbered_stream_body;
use super::support::refusal;
use super::support::streamed_text;
use super::support::wait_until;
use super::support::ExclusiveDeployment;
use super::support::KEY;

const SILENCES: [Duration; 3] = [
    Duration::from_millis(1_000),
    Duration::from_millis(1_600),
    Duration::from_millis(2_500),
];
const TIMEOUT_MS: u64 = 400;
const LONG_ANSWER_TOKENS: u64 = 300;

fn model_route(timeout_ms: u64) -> Value {
    json!({"kind": "route", "name": "plan-reviews", "value": {
        "kind": "model", "class": "long", "repeatability": "idempotent",
        "deadline_ms": 20_000, "first_event_timeout_ms": timeout_ms,
        "silence_timeout_ms": timeout_ms, "answer_max_tokens": 4_096}})
}

fn booking_route(timeout_ms: u64) -> Value {
    json!({"kind": "route", "name": "bookings", "value": {
        "kind": "service", "path_prefix": "/bookings", "class": "interactive",
        "repeatability": "non_idempotent", "deadline_ms": 10_000,
        "first_event_timeout_ms": timeout_ms, "silence_timeout_ms": timeout_ms,
        "call_cost_tokens": 10}})
}

async fn publish(deployment: &mut ExclusiveDeployment, objects: Vec<Value>) {
    let ticket = deployment.publish(objects);
    wait_until(|| {
        deployment.vms.iter().all(|vm| {
            let context = vm.daemon.context();
            let in_force = context.blackboard.catalog.load().ticket;
            in_force >= TicketNumber(ticket)
        })
    })
    .await;
}

/// Launches one region with short timeouts.
async fn launch_impatient(engine_count: usize) -> ExclusiveDeployment {
    let mut plan = DeploymentPlan::one_region(3);
    plan.regions[0].engine_count = engine_count;
    let mut deployment = launch(&plan).await;
    let routes = vec![model_route(TIMEOUT_MS), booking_route(TIMEOUT_MS)];
    publish(&mut deployment, routes).await;
    deployment
}

fn all_engines_fall_silent(deployment: &ExclusiveDeployment, duration: Duration) {
    for engine in &deployment.engines {
        engine.server.fall_silent(duration);
    }
}

async fn read_whole(response: Response, answer: String) {
    let status = response.status();
    let text = response.text().await.expect("the answer ends well");
    assert_eq!(status, 200, "{text}");
    assert_eq!(streamed_text(&text), (answer, true));
}

async fn send(deployment: &ExclusiveDeployment, vm: usize, number: u64) -> (Response, String) {
    let (body, answer) = numbered_stream_body(number, LONG_ANSWER_TOKENS);
    let response = completion(deployment, vm, KEY, &body).send().await;
    (response.expect("the VM answers"), answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_lost_when_the_only_engine_is_silent_before_their_head() {
    let deployment = launch_impatient(1).await;
    for (number, silence) in (0..).zip(SILENCES) {
        all_engines_fall_silent(&deployment, silence);
        let (response, answer) = send(&deployment, 0, number).await;
        read_whole(response, answer).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_cut_when_the_only_engine_is_silent_between_events() {
    let deployment = launch_impatient(1).await;
    for (number, silence) in (0..).zip(SILENCES) {
        let (response, answer) = send(&deployment, 0, number).await;
        all_engines_fall_silent(&deployment, silence);
        read_whole(response, answer).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_lost_when_two_engines_are_silent_at_once() {
    let deployment = launch_impatient(2).await;
    for silence in SILENCES {
        let begun = join_all((0..4).map(|number| send(&deployment, 0, number))).await;
        all_engines_fall_silent(&deployment, silence);
        let late = join_all((4..8).map(|number| send(&deployment, 1, number)));
        let read = join_all(
            begun
                .into_iter()
                .map(|(response, answer)| read_whole(response, answer)),
        );
        let (late, _) = tokio::join!(late, read);
        for (response, answer) in late {
            read_whole(response, answer).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bookings_are_not_lost_when_their_service_is_silent() {
    let deployment = launch_impatient(1).await;
    for silence in SILENCES {
        let body = format!("soil-{}", silence.as_millis());
        deployment.services[0].server.fall_silent(silence);
        let response = booking(&deployment, 0, &body, &body).send().await;
        let response = response.expect("the VM answers");
        assert_eq!(response.status(), 200, "{silence:?}");
        response.text().await.expect("the answer is complete");
        assert_eq!(executions(&deployment, &body), 1, "{silence:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_cut_when_a_silence_meets_a_configuration_change() {
    let mut deployment = launch_impatient(1).await;
    let (response, answer) = send(&deployment, 0, 1).await;
    all_engines_fall_silent(&deployment, SILENCES[2]);
    let leaving = deployment.engine_object(0, "leaving");
    deployment.publish(vec![leaving, model_route(TIMEOUT_MS / 2)]);
    read_whole(response, answer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_cuts_no_answer_of_a_silent_engine() {
    let mut deployment = launch_impatient(1).await;
    let (begun, begun_answer) = send(&deployment, 0, 1).await;
    all_engines_fall_silent(&deployment, SILENCES[2]);
    let (body, late_answer) = numbered_stream_body(2, LONG_ANSWER_TOKENS);
    let late = tokio::spawn(completion(&deployment, 0, KEY, &body).send());
    let leaving = deployment.vms.remove(0);
    wait_until(|| leaving.daemon.running_count() == 2).await;
    let drain = tokio::spawn(leaving.daemon.drain());
    read_whole(begun, begun_answer).await;
    let late = late.await.expect("the task ends");
    read_whole(late.expect("the VM answers"), late_answer).await;
    drain.await.expect("the drain ends by itself");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_an_engine_that_stays_silent_ends_with_its_deadline() {
    let mut deployment = launch_impatient(1).await;
    let mut route = model_route(TIMEOUT_MS);
    route["value"]["deadline_ms"] = json!(1_500);
    publish(&mut deployment, vec![route]).await;
    all_engines_fall_silent(&deployment, Duration::from_secs(60));
    let sent_at = Instant::now();
    let (response, _) = send(&deployment, 0, 1).await;
    let expected = ("deadline_exceeded".to_owned(), "may_have_run".to_owned());
    assert_eq!(refusal(response).await, expected);
    assert!(sent_at.elapsed() < Duration::from_millis(2_500));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_is_out_of_use_no_longer_than_its_silence() {
    let deployment = launch_impatient(2).await;
    let silence = SILENCES[1];
    let context = deployment.vms[0].daemon.context();
    let catalog = context.blackboard.catalog.load_full();
    let name = deployment.engines[0].name.as_str();
    let mut engines = catalog.endpoints.iter();
    let engine = engines.find(|(_, engine)| engine.name.as_str() == name);
    let (engine, _) = engine.expect("the engine is published");
    let load = context
        .blackboard
        .endpoint_loads
        .load()
        .get(engine)
        .cloned();
    let load = load.expect("the engine has a load");
    deployment.engines[0].server.fall_silent(silence);
    let watch = async {
        let mut out_ms = 0;
        for _ in 0..400 {
            sleep(Duration::from_millis(10)).await;
            let health = load.health(context.clock.now());
            out_ms += u128::from(health != Health::Up) * 10;
        }
        out_ms
    };
    let requests = async {
        for round in 0..40 {
            let numbers = round * 4..round * 4 + 4;
            let sent = join_all(numbers.map(|number| send(&deployment, 0, number))).await;
            for (response, answer) in sent {
                read_whole(response, answer).await;
            }
        }
    };
    let (out_ms, ()) = tokio::join!(watch, requests);
    assert!(out_ms <= silence.as_millis(), "{out_ms} ms");
}
