//! API keys of callers are not sent to endpoints.

use figramp::catalog::EndpointKind;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::support::launch_caller_server;
use super::support::FixedGateway;
use super::support::LOOPBACK;

const KEY: &str = "sk-nursery-7";

#[tokio::test]
async fn no_endpoint_receives_an_api_key() {
    for (kind, path) in [
        (EndpointKind::Engine, "/v1/chat/completions"),
        (EndpointKind::Service, "/bookings"),
    ] {
        let endpoint_listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = endpoint_listener.local_addr().unwrap();
        let gateway = FixedGateway::to_endpoint(kind, address);
        let server = launch_caller_server(gateway).await;
        let body = r#"{"model":"m","messages":[{"role":"a"}]}"#;
        let head = format!("POST {path} HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {KEY}\r\n");
        let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
        let mut caller = TcpStream::connect(server.address()).await.unwrap();
        caller.write_all(request.as_bytes()).await.unwrap();

        let (mut socket, _) = endpoint_listener.accept().await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(body.as_bytes()) {
            assert_ne!(socket.read_buf(&mut received).await.unwrap(), 0);
        }
        let received = String::from_utf8(received).unwrap().to_lowercase();
        assert!(received.contains("x-request-id: "), "{received}");
        assert!(
            !received.contains(KEY) && !received.contains("authorization"),
            "{received}"
        );
    }
}
