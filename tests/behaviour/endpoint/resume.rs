//! Answers that fail are resumed, and each chunk appears once.

use std::sync::Arc;
use std::time::Duration;

use figramp::endpoint::AnswerFailure;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::ResumingAnswer;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::stand_in::engine::EngineCounts;
use figramp::stand_in::engine::EngineFaults;
use figramp::stand_in::engine::EngineOptions;

use super::support::completion;
use super::support::impatient;
use super::support::launch_engine;
use super::support::outcome;
use super::support::whole_text;
use super::support::Outcome;
use crate::caller::support::faults;

const RESUMES_MAX: u32 = 2;

async fn resumed_outcome(faults: EngineFaults) -> (Outcome, EngineCounts) {
    let (engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    engine.set_faults(faults);
    let client: Arc<dyn EndpointClient> = Arc::new(client);
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
    let silent = faults(r#"{"hits_left":1,"silent_after_chunks":2}"#);
    let truncated = faults(r#"{"hits_left":2,"truncated_after_chunks":5}"#);
    let gap = faults(r#"{"hits_left":1,"missing_chunk":3}"#);
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
    let faults = faults(r#"{"truncated_after_chunks":2}"#);
    let (outcome, counts) = resumed_outcome(faults).await;
    let error = outcome.end.unwrap_err();
    assert_eq!(
        (error.kind, error.run),
        (ErrorKind::AnswerTruncated, RunState::MayHaveRun)
    );
    assert!(whole_text().starts_with(&outcome.text));
    assert_eq!(counts.resumed, u64::from(RESUMES_MAX));
}
