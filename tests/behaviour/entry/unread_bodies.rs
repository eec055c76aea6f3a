//! Endpoints that accept a request and read its body late.

use std::net::SocketAddr;
use std::time::Duration;

use figramp::stand_in::deployment::StoreServer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::EAST;
use super::support::KEY;

/// The length of a body that fills the receive buffer many times.
const BODY_BYTES: usize = 60_000;

const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// How long the endpoint reads nothing; it ends before the deadline of the request.
const SILENCE: Duration = Duration::from_millis(2_500);

/// Binds a socket that can hold little that was not read.
fn bind() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a buffer size");
    socket.set_nonblocking(true).expect("a mode");
    socket.bind(&any_port().into()).expect("a port");
    socket.listen(16).expect("a listener");
    TcpListener::from_std(socket.into()).expect("a listener")
}

fn record(address: SocketAddr) -> String {
    serde_json::json!({
        "service": "plain", "address": address, "zone": EAST, "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_000,
    })
    .to_string()
}

/// Reads a request to its end after the silence, and answers it.
async fn answer_late(mut stream: TcpStream, request_id: &str) {
    sleep(SILENCE).await;
    let mut received = Vec::new();
    let mut buffer = [0; 4_096];
    let body_start = |bytes: &[u8]| bytes.windows(4).position(|window| window == b"\r\n\r\n");
    while body_start(&received).is_none_or(|start| received.len() < start + 4 + BODY_BYTES) {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => received.extend_from_slice(&buffer[..length]),
        }
    }
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Stamp: stamp\r\n\
         Content-Length: 4\r\n\r\ndone"
    );
    let _ = stream.write_all(answer.as_bytes()).await;
}

#[tokio::test]
async fn a_request_is_not_given_up_while_its_endpoint_does_not_read_it() {
    let store = StoreServer::launch(any_port()).await.expect("a store");
    store.put("op/config", configuration(1, &[KEY]).to_string());
    let listener = bind();
    let address = listener.local_addr().expect("an address");
    store.put("servers/late", record(address));
    let vm = EntryVm::launch(new_ip(), EAST, &store, &[]).await;
    let endpoint = tokio::spawn(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        answer_late(stream, "r1").await;
    });
    let request = vm.post("/book/x", "r1").body("x".repeat(BODY_BYTES));
    let answer = request.send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
    endpoint.await.expect("the endpoint ends");
}
