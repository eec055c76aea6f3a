//! What clients receive and endpoints see without faults.

use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::ACCOUNT;
use super::support::EAST;

#[tokio::test]
async fn answers_are_complete_and_endpoints_see_the_account_but_no_key() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let request = vm.post("/read/plan", "r1").header("Tenant", "someone else");
    let response = request.send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["server-stamp"], "stamp");
    assert_eq!(response.text().await.expect("a body"), "done");
    let served = site
        .plain
        .iter()
        .find(|endpoint| endpoint.run_count("r1") == 1);
    let served = served.expect("one endpoint ran it");
    assert_eq!(served.last_header("tenant").as_deref(), Some(ACCOUNT));
    assert_eq!(served.last_header("authorization"), None);
    let time_left = served.last_header("timeout-ms").expect("a timeout");
    assert!(time_left.parse::<u64>().expect("a number") <= 3_500);
    assert!(served.last_header("expect-instance").is_some());
}

#[tokio::test]
async fn streams_are_complete() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for path in ["/stream/x", "/tip-stream/x"] {
        let response = vm.post(path, path).send().await.expect("an answer");
        assert_eq!(response.text().await.expect("a body"), whole_stream());
    }
}

#[tokio::test]
async fn unknown_paths_and_keys_and_large_bodies_are_refused() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let status = |request: reqwest::RequestBuilder| async move {
        request.send().await.expect("an answer").status().as_u16()
    };
    assert_eq!(status(vm.post("/nothing/", "r1")).await, 404);
    let two_keys = vm
        .post("/read/x", "r2")
        .header("Authorization", "Bearer other");
    assert_eq!(status(two_keys).await, 401);
    assert_eq!(
        status(vm.post("/read/x", "r3").body(vec![b'x'; 70_000])).await,
        413
    );
    assert_eq!(site.runs("r1") + site.runs("r2") + site.runs("r3"), 0);
}

#[tokio::test]
async fn a_vm_without_a_configuration_answers_503_and_never_404() {
    let site = Site::launch(EAST).await;
    site.store
        .set_fault(figramp::stand_in::deployment::StoreFault::Busy);
    let vm = EntryVm::start(new_ip(), EAST, site.store.address(), &[]);
    let response = loop {
        match vm.post("/nothing/", "r1").send().await {
            Ok(response) => break response,
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(20)).await,
        }
    };
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(!vm.is_ready().await);
    site.store
        .set_fault(figramp::stand_in::deployment::StoreFault::None);
    vm.wait_until(true).await;
}
