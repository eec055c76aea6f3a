//! An endpoint that stops within the head of its answer gives no answer.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::support::any_port;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

/// Listens as an endpoint that answers each request with the first bytes of a head and closes.
async fn launch_endpoint(site: &Site, id: &str, service: &str, length: usize) {
    let listener = TcpListener::bind(any_port()).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let record = json!({
        "service": service, "address": address, "zone": EAST, "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_000,
    });
    let key = format!("servers/{id}");
    site.store.put(&key, record.to_string());
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = vec![0; 4_096];
                let read = stream.read(&mut request).await.unwrap_or(0);
                let request = String::from_utf8_lossy(&request[..read]).to_ascii_lowercase();
                let id = request
                    .lines()
                    .find_map(|line| line.strip_prefix("request-id: "));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: stamp\r\nContent-Length: 12\r\n\r\n",
                    id.unwrap_or_default()
                );
                let _ = stream
                    .write_all(&head.as_bytes()[..length.min(head.len())])
                    .await;
            });
        }
    });
}

/// Returns the answers to requests whose endpoints stop after each length of a head.
async fn check(path: &'static str, service: &'static str) {
    let site = Site::launch(EAST).await;
    for endpoint in site.plain.iter().chain(&site.engines) {
        site.store.remove(&endpoint.key());
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for length in (0..=84).step_by(7) {
        let id = format!("i-{length}");
        launch_endpoint(&site, &id, service, length).await;
        sleep(Duration::from_millis(800)).await;
        let answer = vm.post(path, "rq").send().await.expect("an answer");
        let status = answer.status();
        let body = answer.text().await;
        assert!(
            !status.is_success() || body.is_err(),
            "{path}: {status} after {length} bytes: {body:?}"
        );
        site.store.remove(&format!("servers/{id}"));
    }
}

#[tokio::test]
async fn an_unsafe_request_gets_no_success() {
    check("/book/x", "plain").await;
}

#[tokio::test]
async fn a_safe_request_gets_no_success() {
    check("/read/x", "plain").await;
}

#[tokio::test]
async fn a_stream_gets_no_whole_success() {
    check("/stream/x", "engine").await;
}
