//! Revoked keys are refused, also while the store is unreachable.

use std::time::Duration;

use figramp::stand_in::deployment::StoreFault;

use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

#[tokio::test]
async fn a_revoked_key_is_refused_on_an_open_connection() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let response = vm.post("/read/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    let changed = configuration(2, &["another"]).to_string();
    site.store.put("op/config", changed);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = vm.post("/read/x", "r2").send().await.expect("an answer");
    assert_eq!(response.status(), 401);
    assert_eq!(site.runs("r2"), 0);
}

#[tokio::test]
async fn keys_fail_closed_within_the_bound_without_the_store_and_work_again_with_it() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    site.store.set_fault(StoreFault::Silent);
    let response = vm.post("/read/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
    tokio::time::sleep(Duration::from_millis(5_000)).await;
    let response = vm.post("/read/x", "r2").send().await.expect("an answer");
    assert_eq!(response.status(), 503);
    assert_eq!(site.runs("r2"), 0);
    site.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let response = vm.post("/read/x", "r3").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
}

#[tokio::test]
async fn an_older_version_of_the_configuration_is_not_applied() {
    let site = Site::launch(EAST).await;
    site.store
        .put("op/config", configuration(5, &[KEY]).to_string());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    site.store
        .put("op/config", configuration(4, &["another"]).to_string());
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let response = vm.post("/read/x", "r1").send().await.expect("an answer");
    assert_eq!(response.status(), 200);
}
