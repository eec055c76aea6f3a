//! Answers that fail are resumed, and each chunk appears once.

use std::sync::Arc;
use std::time::Duration;

use figramp::endpoint::AnswerFailure;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::endpoint::ResumingAnswer;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::stand_in::engine::EngineCounts;
use figramp::stand_in::engine::EngineFaults;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;

use super::support::completion;
use super::support::engine_at;
use super::support::impatient;
use super::support::outcome;
use super::support::whole_text;
use super::support::Outcome;

const RESUMES_MAX: u32 = 2;

async fn resumed_outcome(faults: EngineFaults) -> (Outcome, EngineCounts) {
    let engine = EngineServer::launch(EngineOptions::default())
        .await
        .unwrap();
    engine.set_faults(faults);
    let client: Arc<dyn EndpointClient> = Arc::new(HttpEndpointClient::new());
    let endpoint = engine_at(engine.address());
    let call = if faults.silent_after_chunks.is_some() {
        impatient(completion())
    } else {
        completion()
    };
    let first = client.call(&endpoint, call.clone()).await;
    let first = first.unwrap_or_else(|error| panic!("{error}"));
    let policy =
        |failure: &AnswerFailure| (failure.resume_count < RESUMES_MAX).then_some(Duration::ZERO);
    let answer = ResumingAnswer::new(client, Arc::new(policy), endpoint, call, first);
    let outcome = outcome(Ok(answer.into_stream())).await;
    (outcome, engine.counts())
}

#[tokio::test]
async fn each_failure_is_resumed_from_the_next_chunk() {
    let silent = EngineFaults {
        hits_left: Some(1),
        silent_after_chunks: Some(2),
        ..EngineFaults::default()
    };
    let truncated = EngineFaults {
        hits_left: Some(2),
        truncated_after_chunks: Some(5),
        ..EngineFaults::default()
    };
    let gap = EngineFaults {
        hits_left: Some(1),
        missing_chunk: Some(3),
        ..EngineFaults::default()
    };
    for (faults, resume_count) in [(silent, 1), (truncated, 2), (gap, 1)] {
        let (outcome, counts) = resumed_outcome(faults).await;
        assert_eq!(outcome.end, Ok(()), "{faults:?}");
        assert_eq!(outcome.text, whole_text(), "{faults:?}");
        assert_eq!(
            (counts.started, counts.resumed),
            (1, resume_count),
            "{faults:?}"
        );
    }
}

#[tokio::test]
async fn a_spent_budget_ends_the_answer_loudly() {
    let faults = EngineFaults {
        truncated_after_chunks: Some(2),
        ..EngineFaults::default()
    };
    let (outcome, counts) = resumed_outcome(faults).await;
    let error = outcome.end.unwrap_err();
    assert_eq!(
        (error.kind, error.run),
        (ErrorKind::AnswerTruncated, RunState::MayHaveRun)
    );
    assert!(whole_text().starts_with(&outcome.text));
    assert_eq!(counts.resumed, u64::from(RESUMES_MAX));
}
