//! Pooled connections that fall silent.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::endpoint::ATTEMPT_HEADER;
use figramp::errors::ErrorKind;
use figramp::request::HttpMethod;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::support::outcome;
use super::support::service_at;
use super::support::service_call;
use super::support::short_timeouts;
use crate::caller::support::LOOPBACK;

/// Returns an answer that names the attempt of `request`, as only then its connection is kept.
fn answer_to(request: &[u8]) -> String {
    let head = String::from_utf8_lossy(request);
    let mut lines = head.lines();
    let attempt = lines.find(|line| line.starts_with(ATTEMPT_HEADER));
    let attempt = attempt.unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\n{attempt}\r\ncontent-length: 2\r\n\r\nok")
}

/// Answers each request of a connection until `is_silent` is set.
async fn serve(mut socket: TcpStream, is_silent: Arc<AtomicBool>) {
    let mut buffer = [0; 4_096];
    while let Ok(count @ 1..) = socket.read(&mut buffer).await {
        if is_silent.load(Ordering::SeqCst) {
            std::future::pending().await
        }
        if buffer[..count].windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            let answer = answer_to(&buffer[..count]);
            socket.write_all(answer.as_bytes()).await.unwrap();
        }
    }
}

/// Listens; connections that are open when the returned flag is set fall silent for good, later
/// ones answer.
async fn listen() -> (std::net::SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    let is_silent = Arc::new(AtomicBool::new(false));
    let listener_flag = Arc::clone(&is_silent);
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            let is_opened_later = listener_flag.load(Ordering::SeqCst);
            let connection_flag = if is_opened_later {
                Arc::default()
            } else {
                Arc::clone(&listener_flag)
            };
            tokio::spawn(serve(socket, connection_flag));
        }
    });
    (address, is_silent)
}

#[tokio::test]
async fn one_silent_connection_discards_its_whole_pool() {
    let (address, is_silent) = listen().await;
    let endpoint = service_at(address);
    let client = HttpEndpointClient::new();
    let call = || client.call(&endpoint, short_timeouts(service_call(HttpMethod::Get, "")));
    assert_eq!(outcome(call().await).await.end, Ok(()));
    for answer in futures::future::join_all((0..4).map(|_| call())).await {
        assert_eq!(outcome(answer).await.end, Ok(()));
    }
    is_silent.store(true, Ordering::SeqCst);
    let error = outcome(call().await).await.end.unwrap_err();
    assert_eq!(error.kind, ErrorKind::AnswerSilent);
    for _ in 0..4 {
        assert_eq!(outcome(call().await).await.end, Ok(()));
    }
}

#[tokio::test]
async fn an_unsafe_call_never_uses_a_pooled_connection() {
    let (address, is_silent) = listen().await;
    let endpoint = service_at(address);
    let client = HttpEndpointClient::new();
    let call = |method| client.call(&endpoint, short_timeouts(service_call(method, "")));
    for _ in 0..2 {
        assert_eq!(outcome(call(HttpMethod::Get).await).await.end, Ok(()));
    }
    is_silent.store(true, Ordering::SeqCst);
    assert_eq!(outcome(call(HttpMethod::Post).await).await.end, Ok(()));
}
