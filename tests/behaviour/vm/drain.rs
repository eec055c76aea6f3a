//! A graceful shutdown.

use figramp::demo::DeploymentPlan;
use figramp::vm::Phase;
use serde_json::Value;

use super::support::completion;
use super::support::launch;
use super::support::refusal;
use super::support::stream_body;
use super::support::streamed_text;
use super::support::wait_until;
use super::support::KEY;

#[tokio::test(flavor = "multi_thread")]
async fn leaves_the_entry_list_refuses_new_work_and_finishes_running_answers() {
    let mut deployment = launch(&DeploymentPlan::one_region(3)).await;
    let (long_body, answer) = stream_body(2_000);
    let running = completion(&deployment, 0, KEY, &long_body).send().await;
    let running = running.expect("the answer begins");
    let (body, _) = stream_body(1);
    let late = completion(&deployment, 0, KEY, &body);
    let leaving = deployment.vms.remove(0);
    let blackboard = leaving.daemon.context().blackboard.clone();
    let drain = tokio::spawn(leaving.daemon.drain());

    wait_until(|| blackboard.phase.load() == Phase::Draining).await;
    let refused = late.send().await.expect("a draining VM answers");
    let expected = ("draining".to_owned(), "not_run".to_owned());
    assert_eq!(refusal(refused).await, expected);

    let address = deployment.vms[0].daemon.caller_address();
    let listed = || async {
        let url = format!("http://{address}/v1/entries");
        let list: Value = reqwest::get(url).await.unwrap().json().await.unwrap();
        list.to_string().contains(&leaving.name)
    };
    while listed().await {
        tokio::task::yield_now().await;
    }

    let text = running.text().await.expect("the running answer ends well");
    assert_eq!(streamed_text(&text), (answer, true));
    drain.await.expect("the drain ends by itself");
}
