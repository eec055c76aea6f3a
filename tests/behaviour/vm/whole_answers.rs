//! Faults of an engine before and during an answer, as a caller sees them.

use figramp::demo::DeploymentPlan;
use figramp::stand_in::engine::EngineFaults;

use super::support::completion;
use super::support::launch;
use super::support::numbered_stream_body;
use super::support::stream_body;
use super::support::streamed_text;
use super::support::KEY;

fn faults() -> Vec<EngineFaults> {
    let once = EngineFaults {
        hits_left: Some(1),
        ..EngineFaults::default()
    };
    vec![
        EngineFaults {
            silent_after_chunks: Some(3),
            ..once
        },
        EngineFaults {
            truncated_after_chunks: Some(4),
            ..once
        },
        EngineFaults {
            missing_chunk: Some(2),
            ..once
        },
        EngineFaults {
            has_crossed_events: true,
            ..once
        },
        EngineFaults {
            has_repeated_events: true,
            ..once
        },
        EngineFaults {
            is_refusing: true,
            ..once
        },
        EngineFaults {
            failure_status: Some(500),
            ..once
        },
    ]
}

fn needs_resume(fault: &EngineFaults) -> bool {
    let truncations = [
        fault.silent_after_chunks,
        fault.truncated_after_chunks,
        fault.missing_chunk,
    ];
    truncations.iter().any(Option::is_some)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_fault_of_one_answer_is_hidden_from_the_caller() {
    let mut plan = DeploymentPlan::one_region(3);
    plan.regions[0].engine_count = 2;
    let deployment = launch(&plan).await;
    let faulty = &deployment.engines[0].server;
    for fault in faults() {
        faulty.set_faults(fault);
        let before = faulty.counts();
        let mut number = 0;
        while faulty.counts() == before {
            number += 1;
            let (body, answer) = numbered_stream_body(number, 8);
            let response = completion(&deployment, 0, KEY, &body).send().await;
            let response = response.expect("the VM answers");
            assert_eq!(response.status(), 200, "{fault:?}");
            let text = response.text().await.expect("the answer ends well");
            assert_eq!(streamed_text(&text), (answer, true), "{fault:?}");
        }
        let resumed = faulty.counts().resumed - before.resumed;
        assert_eq!(resumed, u64::from(needs_resume(&fault)), "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_cannot_be_completed_never_gets_its_end_mark() {
    let deployment = launch(&DeploymentPlan::one_region(3)).await;
    for engine in &deployment.engines {
        engine.server.set_faults(EngineFaults {
            truncated_after_chunks: Some(2),
            ..EngineFaults::default()
        });
    }
    let (body, _) = stream_body(400);
    let response = completion(&deployment, 0, KEY, &body).send().await;
    let text = match response {
        Ok(response) => response.text().await,
        Err(error) => Err(error),
    };
    if let Ok(text) = text {
        let (_, is_whole) = streamed_text(&text);
        assert!(!is_whole, "{text}");
    }
}
