//! A revoked key.

use std::time::Duration;
use std::time::Instant;

use figramp::demo::key_object;
use figramp::demo::DeploymentPlan;
use figramp::stand_in::engine::EngineFaults;

use super::support::completion;
use super::support::launch;
use super::support::refusal;
use super::support::stream_body;
use super::support::streamed_text;
use super::support::KEY;

/// The target for the time from the publication of a ticket until it is in force on all VMs.
const IN_FORCE_TARGET: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn does_not_keep_a_running_answer_from_being_resumed() {
    let mut deployment = launch(&DeploymentPlan::one_region(3)).await;
    deployment.engines[0].server.set_faults(EngineFaults {
        hits_left: Some(1),
        truncated_after_chunks: Some(1_200),
        ..EngineFaults::default()
    });
    let (long_body, answer) = stream_body(1_500);
    let running = completion(&deployment, 0, KEY, &long_body).send().await;
    let running = running.expect("the answer begins");
    deployment.publish(vec![key_object(KEY, None)]);
    let text = running.text().await.expect("the running answer ends well");
    assert_eq!(streamed_text(&text), (answer, true));
    assert_eq!(deployment.engines[0].server.counts().resumed, 1);

    let (body, _) = stream_body(1);
    let refused = completion(&deployment, 0, KEY, &body).send().await;
    assert_eq!(refused.expect("the VM answers").status(), 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn stops_working_on_every_vm_while_its_running_answers_are_finished() {
    let mut deployment = launch(&DeploymentPlan::three_regions()).await;
    let (long_body, answer) = stream_body(1_500);
    let running = completion(&deployment, 0, KEY, &long_body).send().await;
    let running = running.expect("the answer begins");
    deployment.publish(vec![key_object(KEY, None)]);
    let published_at = Instant::now();
    let (body, _) = stream_body(1);
    for vm in 0..deployment.vms.len() {
        loop {
            let response = completion(&deployment, vm, KEY, &body).send().await;
            let response = response.expect("the VM answers");
            if response.status() == 401 {
                let refused = ("invalid_key".to_owned(), "not_run".to_owned());
                assert_eq!(refusal(response).await, refused);
                break;
            }
            assert!(published_at.elapsed() < IN_FORCE_TARGET, "VM {vm} is late");
        }
    }
    let text = running.text().await.expect("the running answer ends well");
    assert_eq!(streamed_text(&text), (answer, true));
}
