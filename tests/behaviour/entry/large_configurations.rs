//! Configurations that are large travel compressed between daemons.

use figramp::stand_in::deployment::StoreServer;
use serde_json::json;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

const ROUTE_COUNT: usize = 1_500;

const PEER_PORT: u16 = 8229;

fn large_configuration() -> String {
    let mut large = configuration(2, &[KEY]);
    let template = large["routes"][1].clone();
    let routes = large["routes"].as_array_mut().expect("routes");
    for index in 0..ROUTE_COUNT {
        let mut route = template.clone();
        route["name"] = json!(format!("route-{index}"));
        route["prefix"] = json!(format!("/route-{index}/"));
        routes.push(route);
    }
    large.to_string()
}

#[tokio::test]
async fn a_daemon_without_the_store_gets_a_large_configuration_from_its_peer() {
    let site = Site::launch(EAST).await;
    site.store.put("op/config", large_configuration());
    let first = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let down = StoreServer::launch(any_port()).await.expect("a store");
    let address = down.address();
    drop(down);
    let second = EntryVm::start(new_ip(), EAST, address, &[first.ip]);
    second.wait_until(true).await;
    let response = second.post("/route-1499/x", "r1").send().await;
    assert_eq!(response.expect("an answer").status(), 200);
}

#[tokio::test]
async fn a_configuration_is_compressed_for_a_vm_that_asks_for_it_and_plain_for_others() {
    let site = Site::launch(EAST).await;
    let published = large_configuration();
    site.store.put("op/config", published.clone());
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let url = format!("http://{}:{PEER_PORT}/v1/configuration", vm.ip);
    let plain = vm.http.get(&url).send().await.expect("an answer");
    assert_eq!(plain.text().await.expect("a body"), published);
    let request = vm.http.get(&url).header("accept-encoding", "deflate");
    let compressed = request.send().await.expect("an answer");
    assert_eq!(compressed.headers()["content-encoding"], "deflate");
    let length = compressed.bytes().await.expect("a body").len();
    assert!(length < published.len() / 5, "{length}");
}
