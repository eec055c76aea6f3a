//! Requests whose connection ends before anything of them is written go on elsewhere, on routes with one attempt too.

use std::time::Duration;

use figramp::stand_in::deployment::LinkProxy;
use figramp::stand_in::deployment::LinkState;
use futures::future::join_all;
use tokio::time::sleep;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

const REQUEST_COUNT: usize = 8;

const PAUSE: Duration = Duration::from_millis(100);

const POLL: Duration = Duration::from_millis(5);

/// A site whose routes have one attempt, with a proxy before one of the endpoints of the plain service.
async fn launch() -> (Site, LinkProxy, EntryVm) {
    let site = Site::launch(EAST).await;
    let proxy = LinkProxy::launch(any_port(), site.plain[0].address()).await;
    let proxy = proxy.expect("a proxy");
    let record = site.plain[0].record_at(proxy.address(), "ready");
    site.store.put(&site.plain[0].key(), record);
    let mut configuration = configuration(2, &[KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["maxAttempts"] = 1.into();
    }
    site.store.put("op/config", configuration.to_string());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, proxy, vm)
}

/// Sends unsafe requests at once and returns their statuses.
async fn send(vm: &EntryVm, prefix: &str) -> Vec<u16> {
    let requests = (0..REQUEST_COUNT).map(|index| {
        let request = vm.post("/book/x", &format!("{prefix}{index}"));
        async move { request.send().await.expect("an answer").status().as_u16() }
    });
    join_all(requests).await
}

fn check(site: &Site, prefix: &str, statuses: &[u16]) {
    assert_eq!(statuses, [200; REQUEST_COUNT], "{prefix}");
    for index in 0..REQUEST_COUNT {
        assert_eq!(site.runs(&format!("{prefix}{index}")), 1, "{prefix}{index}");
    }
}

#[tokio::test]
async fn an_unsafe_request_of_one_attempt_goes_on_from_an_endpoint_that_refuses_connections() {
    let (site, mut proxy, vm) = launch().await;
    proxy.close().await;
    let statuses = send(&vm, "r").await;
    check(&site, "r", &statuses);
}

#[tokio::test]
async fn an_unsafe_request_of_one_attempt_goes_on_from_a_connection_reset_while_the_vm_is_stopped()
{
    let (site, mut proxy, vm) = launch().await;
    let statuses = send(&vm, "w").await;
    check(&site, "w", &statuses);
    assert!(site.plain[0].total_run_count() > 0);
    vm.signal("-STOP");
    proxy.set_link(LinkState::Reset);
    while proxy.open_count() > 0 {
        sleep(POLL).await;
    }
    proxy.close().await;
    let resume = async {
        sleep(PAUSE).await;
        vm.signal("-CONT");
    };
    let (statuses, ()) = tokio::join!(send(&vm, "s"), resume);
    check(&site, "s", &statuses);
}
