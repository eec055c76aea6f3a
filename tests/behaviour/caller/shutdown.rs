//! Shutdown of the server towards callers.

use std::time::Duration;

use figramp::stand_in::engine::EngineOptions;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::support::launch_engine_and_gateway;
use super::support::read_to_close;
use super::support::send_raw_completion;

#[tokio::test]
async fn shutdown_sends_open_answers_to_their_end_and_closes_idle_connections() {
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
