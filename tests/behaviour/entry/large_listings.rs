//! A listing that is too large for a datagram reaches VMs that cannot read the store.

use std::time::Duration;

use figramp::stand_in::deployment::StoreFault;
use figramp::stand_in::deployment::StoreServer;

use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

/// The number of servers in the users' first requirements.
const ENDPOINT_COUNT: usize = 2_900;

#[tokio::test]
async fn a_vm_that_cannot_read_the_store_gets_the_listing_from_another() {
    let site = Site::launch(EAST).await;
    let record = site.engines[0].record("draining");
    for number in 0..ENDPOINT_COUNT {
        let key = format!("servers/leaving-{number}");
        site.store.put(&key, record.clone());
    }
    let silent = StoreServer::launch(any_port()).await.expect("a store");
    silent.set_fault(StoreFault::Silent);
    let (first, second) = (new_ip(), new_ip());
    let _reading = EntryVm::launch(first, EAST, &site.store, &[second]).await;
    let vm = EntryVm::launch(second, EAST, &silent, &[first]).await;
    for number in 0..20 {
        let id = format!("r{number}");
        let response = vm.post("/read/x", &id).send().await.expect("an answer");
        assert_eq!(response.status(), 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
