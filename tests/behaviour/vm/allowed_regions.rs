//! Requests of an account that is restricted to one region.

use figramp::demo::DeploymentPlan;
use figramp::stand_in::engine::EngineFaults;

use super::support::completion;
use super::support::launch;
use super::support::refusal;
use super::support::stream_body;

/// The key of an account whose requests may run in Brisbane only.
const BRISBANE_KEY: &str = "key-toowoomba-nursery";

#[tokio::test(flavor = "multi_thread")]
async fn are_never_served_elsewhere_also_when_their_region_fails() {
    let deployment = launch(&DeploymentPlan::three_regions()).await;
    let (body, _) = stream_body(2);
    for vm in 0..deployment.vms.len() {
        let response = completion(&deployment, vm, BRISBANE_KEY, &body)
            .send()
            .await;
        assert_eq!(response.expect("the VM answers").status(), 200, "VM {vm}");
    }
    for engine in deployment.engines.iter().filter(|e| e.region == "brisbane") {
        engine.server.set_faults(EngineFaults {
            is_refusing: true,
            ..EngineFaults::default()
        });
    }
    for vm in 0..deployment.vms.len() {
        let response = completion(&deployment, vm, BRISBANE_KEY, &body)
            .send()
            .await;
        let (_, run) = refusal(response.expect("the VM answers")).await;
        assert_eq!(run, "not_run", "VM {vm}");
    }
    for engine in deployment.engines.iter().filter(|e| e.region != "brisbane") {
        assert_eq!(engine.server.counts().started, 0, "{}", engine.name);
    }
}
