//! Shutdown of the server for callers.

use std::time::Duration;

use figramp::stand_in::engine::EngineOptions;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::support::launch_engine_and_gateway;
use super::support::launch_script;
use super::support::read_to_close;
use super::support::send_raw_completion;
use super::support::Then;

#[tokio::test]
async fn shutdown_completes_open_answers_and_closes_idle_connections() {
    let options = EngineOptions {
        time_per_token: Duration::from_micros(500),
        ..EngineOptions::default()
    };
    let (_engine, server) = launch_engine_and_gateway(options).await;
    let address = server.address();
    let mut idle = TcpStream::connect(address).await.unwrap();
    let mut socket = send_raw_completion(address, true).await;
    socket.read_u8().await.unwrap();
    let shutdown = tokio::spawn(server.shutdown());
    assert_eq!(read_to_close(&mut idle).await, "");
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!shutdown.is_finished());
    let answer = read_to_close(&mut socket).await;
    assert!(
        answer.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"),
        "{answer}"
    );
    shutdown.await.unwrap();
}

#[tokio::test]
async fn incomplete_requests_do_not_delay_a_shutdown() {
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: vm\r\ncontent-length: 90\r\n\r\n";
    let partial_body = format!("{head}{}", "x".repeat(20));
    let table = [
        ("", ""),
        (&head[..20], ""),
        (head, ""),
        (&partial_body, "HTTP/1.1 400"),
    ];
    for (sent, answer_start) in table {
        let server = launch_script(&[], Then::Hang).await;
        let mut socket = TcpStream::connect(server.address()).await.unwrap();
        socket.write_all(sent.as_bytes()).await.unwrap();
        // The server must read the bytes before it shuts down; after that it reads nothing.
        tokio::time::sleep(Duration::from_millis(100)).await;
        let shutdown = tokio::time::timeout(Duration::from_secs(10), server.shutdown());
        let (answer, shutdown) = tokio::join!(read_to_close(&mut socket), shutdown);
        assert!(
            answer.starts_with(answer_start) && shutdown.is_ok(),
            "{sent}: {answer}"
        );
    }
}
