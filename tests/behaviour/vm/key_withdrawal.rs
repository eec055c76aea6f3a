//! A withdrawn key.

use std::time::Duration;
use std::time::Instant;

use figramp::demo::key_object;
use figramp::demo::DeploymentPlan;

use super::support::completion;
use super::support::launch;
use super::support::refusal;
use super::support::stream_body;
use super::support::streamed_text;
use super::support::KEY;

/// The longest time from the publication of a ticket until it is in force everywhere.
const IN_FORCE_TARGET: Duration = Duration::from_secs(8);

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
