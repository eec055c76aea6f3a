//! Each engine fault is tolerated or returned as an error; no answer is truncated or mixed with
//! another silently.

use std::time::Duration;

use figramp::endpoint::EndpointClient;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::stand_in::engine::EngineFaults;
use figramp::stand_in::engine::EngineOptions;
use futures::StreamExt;

use super::support::complete_text;
use super::support::completion;
use super::support::launch_engine;
use super::support::outcome;
use super::support::short_timeouts;
use super::support::Outcome;
use crate::caller::support::faults;

async fn outcome_under(faults: EngineFaults) -> Outcome {
    let is_silence_expected =
        faults.silent_after_chunks.is_some() || faults.first_event_delay_ms > 0;
    let call = if is_silence_expected {
        short_timeouts(completion())
    } else {
        completion()
    };
    let (engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    engine.set_faults(faults);
    outcome(client.call(&endpoint, call).await).await
}

#[tokio::test]
async fn crossed_and_duplicate_events_leave_the_answer_complete() {
    let crossed = faults(r#"{"has_crossed_events":true}"#);
    let repeated = faults(r#"{"has_repeated_events":true}"#);
    for faults in [EngineFaults::default(), crossed, repeated] {
        let outcome = outcome_under(faults).await;
        assert_eq!(outcome.end, Ok(()), "{faults:?}");
        assert_eq!(outcome.text, complete_text(), "{faults:?}");
    }
}

#[tokio::test]
async fn incomplete_answers_fail_after_their_first_chunks() {
    let silent = faults(r#"{"silent_after_chunks":2}"#);
    let truncated = faults(r#"{"truncated_after_chunks":2}"#);
    let without_end_mark = faults(r#"{"truncated_after_chunks":5}"#);
    let gap = faults(r#"{"missing_chunk":2}"#);
    let too_long = faults(r#"{"surplus_tokens":1}"#);
    let table = [
        (silent, ErrorKind::AnswerSilent),
        (truncated, ErrorKind::AnswerTruncated),
        (without_end_mark, ErrorKind::AnswerTruncated),
        (gap, ErrorKind::AnswerTruncated),
        (too_long, ErrorKind::EndpointFailed),
    ];
    for (faults, kind) in table {
        let outcome = outcome_under(faults).await;
        let error = outcome.end.unwrap_err();
        assert_eq!(
            (error.kind, error.run),
            (kind, RunState::MayHaveRun),
            "{faults:?}"
        );
        assert!(complete_text().starts_with(&outcome.text), "{faults:?}");
    }
}

#[tokio::test]
async fn failures_before_the_answer_have_the_correct_run_state() {
    let refusing = faults(r#"{"is_refusing":true}"#);
    let unmarked = faults(r#"{"failure_status":503}"#);
    let late = faults(r#"{"first_event_delay_ms":60000}"#);
    let table = [
        (refusing, ErrorKind::EndpointRefused, RunState::NotRun),
        (unmarked, ErrorKind::EndpointFailed, RunState::MayHaveRun),
        (late, ErrorKind::AnswerSilent, RunState::MayHaveRun),
    ];
    for (faults, kind, run) in table {
        let error = outcome_under(faults).await.end.unwrap_err();
        assert_eq!((error.kind, error.run), (kind, run), "{faults:?}");
    }
}

#[tokio::test]
async fn a_passed_deadline_ends_an_answer_that_is_not_silent() {
    let options = EngineOptions {
        time_per_token: Duration::from_millis(200),
        ..EngineOptions::default()
    };
    let (_engine, endpoint, client) = launch_engine(options).await;
    let mut call = completion();
    call.remaining = Duration::from_millis(500);
    let outcome = outcome(client.call(&endpoint, call).await).await;
    assert_eq!(outcome.end.unwrap_err().kind, ErrorKind::DeadlineExceeded);
    assert!(outcome.text.len() < complete_text().len());
}

#[tokio::test]
async fn a_call_to_a_closed_port_did_not_run() {
    let (engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    drop(engine);
    let error = loop {
        // The port closes shortly after the engine is dropped.
        match client.call(&endpoint, completion()).await {
            Ok(_) => tokio::task::yield_now().await,
            Err(error) => break error,
        }
    };
    assert_eq!(error.run, RunState::NotRun, "{error}");
}

#[tokio::test]
async fn a_dropped_answer_is_cancelled_at_the_engine() {
    let (engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    engine.set_faults(faults(r#"{"silent_after_chunks":1}"#));
    let answer = client.call(&endpoint, completion()).await;
    let mut events = answer.unwrap_or_else(|error| panic!("{error}"));
    events.next().await.unwrap().unwrap();
    drop(events);
    let cancelled = async {
        while engine.counts().cancelled == 0 {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), cancelled)
        .await
        .unwrap();
}
