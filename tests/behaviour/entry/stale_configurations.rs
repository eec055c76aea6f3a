//! What a VM serves while it cannot tell whether its configuration is still in force.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::StoreFault;
use serde_json::json;

use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

/// The time within which a published configuration binds all VMs, as their settings have it.
const CONFIGURATION_DEADLINE: Duration = Duration::from_millis(3_000);

/// Returns a configuration whose route `read` needs no key.
fn public_configuration(version: u64, home_regions: &[&str]) -> String {
    let mut configuration = configuration(version, &[KEY]);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    let read = routes.iter_mut().find(|route| route["name"] == "read");
    let read = read.expect("the route");
    read["public"] = json!(true);
    read["homeRegions"] = json!(home_regions);
    configuration.to_string()
}

async fn status(vm: &EntryVm, id: &str) -> u16 {
    let mut request = vm.post("/read/x", id).build().expect("a request");
    request.headers_mut().remove("authorization");
    let response = vm.http.execute(request).await.expect("an answer");
    response.status().as_u16()
}

#[tokio::test]
async fn a_route_does_not_run_outside_home_regions_that_the_vm_could_not_learn() {
    let site = Site::launch(EAST).await;
    site.store.put("op/config", public_configuration(2, &[]));
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    assert_eq!(status(&vm, "r1").await, 200);
    site.store.set_fault(StoreFault::Silent);
    site.store
        .put("op/config", public_configuration(3, &["west"]));
    tokio::time::sleep(CONFIGURATION_DEADLINE).await;
    assert_eq!(status(&vm, "r2").await, 503);
    assert_eq!(site.runs("r2"), 0);
}

#[tokio::test]
async fn a_route_is_served_again_once_the_configuration_is_confirmed() {
    let site = Site::launch(EAST).await;
    site.store.put("op/config", public_configuration(2, &[]));
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    site.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(CONFIGURATION_DEADLINE).await;
    site.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(status(&vm, "r1").await, 200);
}

#[tokio::test]
async fn a_stream_is_not_resumed_outside_home_regions_that_came_into_force_since() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for engine in &site.engines {
        engine.set_faults(EndpointFaults {
            truncated_event: Some(3),
            pause: Duration::from_millis(700),
            ..EndpointFaults::default()
        });
    }
    let response = vm.post("/stream/x", "r1").send().await.expect("a head");
    let mut homed = configuration(2, &[KEY]);
    let routes = homed["routes"].as_array_mut().expect("routes");
    let stream = routes.iter_mut().find(|route| route["name"] == "stream");
    stream.expect("the route")["homeRegions"] = json!(["west"]);
    site.store.put("op/config", homed.to_string());
    assert!(response.text().await.is_err());
    assert_eq!(site.runs("r1"), 1);
}
