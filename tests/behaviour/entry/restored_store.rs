//! Daemons whose store is restored from a backup some seconds old.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointServer;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

/// More than the period of the reads of the store, with a round of gossip.
const PROPAGATION_TIME: Duration = Duration::from_millis(1_200);

#[tokio::test]
async fn endpoints_registered_after_a_restoration_are_used_at_once() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let backup = site.store.backup();
    for _ in 0..50 {
        site.store.put("servers/i-other", "no record at all");
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    site.store.restore(&backup);
    let added = EndpointServer::launch(any_port(), "p3", "plain", EAST).await;
    let added = added.expect("an endpoint");
    site.store.put(&added.key(), added.record("ready"));
    for endpoint in &site.plain {
        site.store.put(&endpoint.key(), endpoint.record("draining"));
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    for index in 0..10 {
        let response = vm.post("/read/x", &format!("r{index}")).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
    assert_eq!(added.total_run_count(), 10);
}

#[tokio::test]
async fn a_revoked_key_stays_revoked_while_the_store_contains_it_again() {
    let site = Site::launch(EAST).await;
    let revoked = configuration(1, &[KEY, "revoked"]).to_string();
    site.store.put("op/config", revoked);
    let backup = site.store.backup();
    site.store
        .put("op/config", configuration(2, &[KEY]).to_string());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    site.store.restore(&backup);
    for index in 0..20 {
        let request = vm.post("/read/x", &format!("r{index}"));
        let response = request.header("Authorization", "Bearer revoked").send();
        let status = response.await.expect("an answer").status();
        assert_ne!(status, 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(site.runs("r0"), 0);
}

#[tokio::test]
async fn a_draining_endpoint_gets_no_requests_while_the_store_calls_it_ready_again() {
    let site = Site::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let backup = site.store.backup();
    let draining = &site.plain[0];
    site.store.put(&draining.key(), draining.record("draining"));
    tokio::time::sleep(PROPAGATION_TIME).await;
    let before = draining.total_run_count();
    site.store.restore(&backup);
    tokio::time::sleep(PROPAGATION_TIME).await;
    for index in 0..10 {
        let response = vm.post("/read/x", &format!("r{index}")).send().await;
        assert_eq!(response.expect("an answer").status(), 200);
    }
    assert_eq!(draining.total_run_count(), before);
}
