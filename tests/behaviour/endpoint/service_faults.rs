//! Faults of a plain service.

use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::request::HttpMethod;
use figramp::stand_in::service::ServiceFaults;
use figramp::stand_in::service::ServiceOptions;
use figramp::stand_in::service::ServiceServer;

use super::support::outcome;
use super::support::service_at;
use super::support::service_call;
use super::support::short_timeouts;
use super::support::Outcome;
use crate::caller::support::faults;

async fn outcome_under(faults: ServiceFaults) -> (Outcome, usize) {
    let service = ServiceServer::launch(ServiceOptions::default())
        .await
        .unwrap();
    service.set_faults(faults);
    let client = HttpEndpointClient::new();
    let mut call = service_call(HttpMethod::Post, "one truck");
    if faults.is_silent_before_run || faults.is_silent_after_run {
        call = short_timeouts(call);
    }
    let outcome = outcome(client.call(&service_at(service.address()), call).await).await;
    (outcome, service.executions().count_of_body("one truck"))
}

#[tokio::test]
async fn an_answer_has_its_status_and_complete_body() {
    let (outcome, executions) = outcome_under(ServiceFaults::default()).await;
    assert_eq!(
        (outcome.status, outcome.end, executions),
        (Some(200), Ok(()), 1)
    );
    let expected = r#"{"method":"POST","path":"/bookings?day=1","body":"one truck"}"#;
    assert_eq!(outcome.text, expected);
}

#[tokio::test]
async fn an_error_status_of_the_service_is_passed_on() {
    let faults = faults(r#"{"failure_status_after_run":500}"#);
    let (outcome, executions) = outcome_under(faults).await;
    assert_eq!(
        (outcome.status, outcome.end, executions),
        (Some(500), Ok(()), 1)
    );
}

#[tokio::test]
async fn faults_fail_with_the_correct_run_state() {
    let refusing = faults(r#"{"is_refusing":true}"#);
    let silent_before = faults(r#"{"is_silent_before_run":true}"#);
    let silent_after = faults(r#"{"is_silent_after_run":true}"#);
    let truncated = faults(r#"{"truncated_after_bytes":10}"#);
    let table = [
        (refusing, ErrorKind::EndpointRefused, RunState::NotRun, 0),
        (
            silent_before,
            ErrorKind::AnswerSilent,
            RunState::MayHaveRun,
            0,
        ),
        (
            silent_after,
            ErrorKind::AnswerSilent,
            RunState::MayHaveRun,
            1,
        ),
        (
            truncated,
            ErrorKind::AnswerTruncated,
            RunState::MayHaveRun,
            1,
        ),
    ];
    for (faults, kind, run, expected_executions) in table {
        let (outcome, executions) = outcome_under(faults).await;
        let error = outcome.end.unwrap_err();
        assert_eq!((error.kind, error.run), (kind, run), "{faults:?}");
        assert_eq!(executions, expected_executions, "{faults:?}");
    }
}
