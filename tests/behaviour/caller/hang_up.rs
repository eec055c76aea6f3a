//! Callers that hang up.

use std::time::Duration;

use tokio::io::AsyncReadExt;

use super::support::launch_caller_server;
use super::support::send_raw_completion;
use super::support::ScriptedGateway;
use super::support::Then;

const NOTICE_LIMIT: Duration = Duration::from_secs(5);

async fn assert_noticed(tokens: &[&'static str], is_stream: bool) {
    let gateway = ScriptedGateway::new(tokens, Then::Hang);
    let called = gateway.called.clone();
    let dropped = gateway.dropped.clone();
    let server = launch_caller_server(gateway).await;
    let mut socket = send_raw_completion(server.address(), is_stream).await;
    called.cancelled().await;
    if !tokens.is_empty() && is_stream {
        socket.read_u8().await.unwrap();
    }
    assert!(!dropped.is_cancelled());
    drop(socket);
    let noticed = tokio::time::timeout(NOTICE_LIMIT, dropped.cancelled()).await;
    assert!(noticed.is_ok(), "tokens {tokens:?}, stream {is_stream}");
}

#[tokio::test]
async fn a_hang_up_drops_the_answer_though_no_token_flows() {
    assert_noticed(&[], true).await;
    assert_noticed(&["soil "], true).await;
    assert_noticed(&["soil "], false).await;
}

#[tokio::test]
async fn a_caller_that_takes_no_bytes_counts_as_gone() {
    let gateway = ScriptedGateway::new(&[], Then::Flood);
    let dropped = gateway.dropped.clone();
    let server = launch_caller_server(gateway).await;
    let _socket = send_raw_completion(server.address(), true).await;
    let noticed = tokio::time::timeout(NOTICE_LIMIT, dropped.cancelled()).await;
    assert!(noticed.is_ok());
}
