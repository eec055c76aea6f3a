//! Each fault of an engine is dealt with or fails loudly; nothing is passed on as whole or mixed.

use std::time::Duration;

use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::stand_in::engine::EngineFaults;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use futures::StreamExt;

use super::support::completion;
use super::support::engine_at;
use super::support::impatient;
use super::support::outcome;
use super::support::whole_text;
use super::support::Outcome;

async fn outcome_under(faults: EngineFaults) -> Outcome {
    let is_silence_expected =
        faults.silent_after_chunks.is_some() || faults.first_event_delay_ms > 0;
    let call = if is_silence_expected {
        impatient(completion())
    } else {
        completion()
    };
    let engine = EngineServer::launch(EngineOptions::default())
        .await
        .unwrap();
    engine.set_faults(faults);
    let client = HttpEndpointClient::new();
    outcome(client.call(&engine_at(engine.address()), call).await).await
}

#[tokio::test]
async fn harmless_faults_leave_the_answer_whole() {
    let crossed = EngineFaults {
        has_crossed_events: true,
        ..EngineFaults::default()
    };
    let repeated = EngineFaults {
        has_repeated_events: true,
        ..EngineFaults::default()
    };
    for faults in [EngineFaults::default(), crossed, repeated] {
        let outcome = outcome_under(faults).await;
        assert_eq!(outcome.end, Ok(()), "{faults:?}");
        assert_eq!(outcome.text, whole_text(), "{faults:?}");
    }
}

#[tokio::test]
async fn incomplete_answers_fail_with_their_beginning() {
    let silent = EngineFaults {
        silent_after_chunks: Some(2),
        ..EngineFaults::default()
    };
    let truncated = EngineFaults {
        truncated_after_chunks: Some(2),
        ..EngineFaults::default()
    };
    let without_end_mark = EngineFaults {
        truncated_after_chunks: Some(5),
        ..EngineFaults::default()
    };
    let gap = EngineFaults {
        missing_chunk: Some(2),
        ..EngineFaults::default()
    };
    let table = [
        (silent, ErrorKind::AnswerSilent),
        (truncated, ErrorKind::AnswerTruncated),
        (without_end_mark, ErrorKind::AnswerTruncated),
        (gap, ErrorKind::AnswerTruncated),
    ];
    for (faults, kind) in table {
        let outcome = outcome_under(faults).await;
        let error = outcome.end.unwrap_err();
        assert_eq!(
            (error.kind, error.run),
            (kind, RunState::MayHaveRun),
            "{faults:?}"
        );
        assert!(whole_text().starts_with(&outcome.text), "{faults:?}");
    }
}

#[tokio::test]
async fn failures_before_the_answer_tell_whether_it_ran() {
    let refusing = EngineFaults {
        is_refusing: true,
        ..EngineFaults::default()
    };
    let unmarked = EngineFaults {
        failure_status: Some(503),
        ..EngineFaults::default()
    };
    let late = EngineFaults {
        first_event_delay_ms: 60_000,
        ..EngineFaults::default()
    };
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
    let engine = EngineServer::launch(options).await.unwrap();
    let mut call = completion();
    call.remaining = Duration::from_millis(500);
    let client = HttpEndpointClient::new();
    let outcome = outcome(client.call(&engine_at(engine.address()), call).await).await;
    assert_eq!(outcome.end.unwrap_err().kind, ErrorKind::DeadlineExceeded);
    assert!(outcome.text.len() < whole_text().len());
}

#[tokio::test]
async fn a_closed_port_is_not_run() {
    let engine = EngineServer::launch(EngineOptions::default())
        .await
        .unwrap();
    let endpoint = engine_at(engine.address());
    drop(engine);
    let client = HttpEndpointClient::new();
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
    let engine = EngineServer::launch(EngineOptions::default())
        .await
        .unwrap();
    engine.set_faults(EngineFaults {
        silent_after_chunks: Some(1),
        ..EngineFaults::default()
    });
    let client = HttpEndpointClient::new();
    let answer = client
        .call(&engine_at(engine.address()), completion())
        .await;
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
