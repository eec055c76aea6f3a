//! Requests for endpoints of another region are forwarded once, to a VM there.

use std::time::Duration;

use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;
use super::support::WEST;

#[tokio::test]
async fn requests_are_forwarded_if_the_local_region_has_no_endpoints() {
    let site = Site::launch(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let _remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let response = local
        .post("/stream/x", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.headers()["server-stamp"], "stamp");
    assert!(!response.headers().contains_key("figramp-attempts"));
    assert_eq!(response.text().await.expect("a body"), whole_stream());
    let response = local.post("/book/x", "r2").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    assert_eq!(site.runs("r2"), 1);
}

#[tokio::test]
async fn without_a_vm_in_the_other_region_the_request_is_refused_at_once_as_not_run() {
    let site = Site::launch(WEST).await;
    let local = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let started = std::time::Instant::now();
    let response = local.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(started.elapsed() < Duration::from_millis(500));
    assert_eq!(site.runs("r1"), 0);
}

#[tokio::test]
async fn a_client_cannot_impersonate_a_vm() {
    let site = Site::launch(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let _remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let request = local.post("/book/x", "r1").header("figramp-attempts", "9");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    assert!(!response.headers().contains_key("figramp-not-run"));
}

#[tokio::test]
async fn a_request_bound_to_a_region_runs_nowhere_else() {
    let site = Site::launch(EAST).await;
    let (east, west) = (new_ip(), new_ip());
    let _remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let response = local
        .post("/homed/x", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 503);
    assert_eq!(site.runs("r1"), 0);
    let response = local.post("/read/x", "r2").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn a_request_bound_to_another_region_is_served_there() {
    let site = Site::launch(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let _remote = EntryVm::launch(west, WEST, &site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let response = local
        .post("/homed/x", "r1")
        .send()
        .await
        .expect("an answer");
    assert_eq!(response.status(), 200);
    assert_eq!(site.runs("r1"), 1);
}

#[tokio::test]
async fn a_route_bound_to_a_region_unknown_to_the_vm_runs_nowhere() {
    let site = Site::launch(EAST).await;
    let mut bound = configuration(2, &[KEY]);
    for route in bound["routes"].as_array_mut().expect("routes") {
        route["homeRegions"] = serde_json::json!(["north"]);
    }
    site.store.put("op/config", bound.to_string());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let response = vm.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    assert_eq!(site.runs("r1"), 0);
}
