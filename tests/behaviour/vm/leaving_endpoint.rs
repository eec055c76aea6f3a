//! An endpoint in state `leaving`.

use std::time::Duration;

use figramp::catalog::TicketNumber;
use figramp::demo::DeploymentPlan;

use super::support::completion;
use super::support::launch;
use super::support::numbered_stream_body;
use super::support::wait_until;
use super::support::KEY;

/// The target for the time from the publication of a ticket until it is in force on all VMs.
const IN_FORCE_TARGET: Duration = Duration::from_secs(8);
const CALLS: u64 = 30;

#[tokio::test(flavor = "multi_thread")]
async fn gets_no_new_work_once_its_ticket_is_in_force() {
    let mut deployment = launch(&DeploymentPlan::one_region(3)).await;
    let leaving = deployment.engine_object(0, "leaving");
    let ticket = deployment.publish(vec![leaving]);
    let is_in_force = wait_until(|| {
        deployment.vms.iter().all(|vm| {
            let context = vm.daemon.context();
            let in_force = context.blackboard.catalog.load().ticket;
            in_force >= TicketNumber(ticket)
        })
    });
    let in_time = tokio::time::timeout(IN_FORCE_TARGET, is_in_force).await;
    in_time.expect("the ticket is in force in time");
    let before = deployment.engines[0].server.counts();
    for number in 0..CALLS {
        let vm = usize::try_from(number).expect("small") % deployment.vms.len();
        let (body, _) = numbered_stream_body(number, 2);
        let response = completion(&deployment, vm, KEY, &body).send().await;
        let response = response.expect("the VM answers");
        assert_eq!(response.status(), 200);
        response.text().await.expect("the answer ends well");
    }
    assert_eq!(deployment.engines[0].server.counts(), before);
}
