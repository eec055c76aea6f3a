//! A resumable stream that is silent past its deadline does not occupy the daemon.

use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use tokio::time::sleep;
use tokio::time::timeout;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

const TIMEOUT_MS: &str = "800";

#[tokio::test]
async fn a_daemon_serves_after_the_deadline_of_a_silent_resumable_stream() {
    let site = Site::launch(EAST).await;
    site.store.remove(&site.engines[1].key());
    site.engines[0].set_faults(EndpointFaults {
        pause: Duration::from_millis(200),
        ..EndpointFaults::default()
    });
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let request = vm.post("/stream/x", "r1");
    let (client, request) = request.build_split();
    let mut request = request.expect("a request");
    let value = TIMEOUT_MS.parse().expect("a header value");
    request.headers_mut().insert("timeout-ms", value);
    let stream = tokio::spawn(async move { client.execute(request).await });
    sleep(Duration::from_millis(500)).await;
    site.engines[0].fall_silent(Duration::from_secs(6));
    sleep(Duration::from_millis(900)).await;
    let read = timeout(Duration::from_secs(2), vm.post("/read/x", "r2").send()).await;
    let read = read.expect("the daemon answers").expect("an answer");
    assert_eq!(read.status(), 200);
    stream.abort();
}
