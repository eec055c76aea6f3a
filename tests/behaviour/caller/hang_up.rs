//! Callers that hang up.

use std::time::Duration;

use figramp::stand_in::engine::EngineCounts;
use figramp::stand_in::engine::EngineOptions;
use tokio::io::AsyncReadExt;

use super::support::faults;
use super::support::launch_caller_server;
use super::support::launch_engine_and_gateway;
use super::support::send_raw_completion;
use super::support::FixedGateway;
use super::support::Source;
use super::support::Then;

const NOTICE_LIMIT: Duration = Duration::from_secs(5);

async fn assert_noticed(tokens: &'static [&'static str], is_stream: bool) {
    let gateway = FixedGateway::new(Source::Script(tokens, Then::Hang));
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
async fn a_hang_up_cancels_the_work_of_the_engine() {
    for is_stream in [true, false] {
        let (engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
        engine.set_faults(faults(r#"{"silent_after_chunks":1}"#));
        let socket = send_raw_completion(server.address(), is_stream).await;
        let until = async |is_reached: fn(EngineCounts) -> bool| {
            while !is_reached(engine.counts()) {
                tokio::task::yield_now().await;
            }
        };
        until(|counts| counts.prefilled_tokens > 0).await;
        drop(socket);
        let cancelled = until(|counts| counts.cancelled == 1);
        tokio::time::timeout(NOTICE_LIMIT, cancelled).await.unwrap();
    }
}

#[tokio::test]
async fn a_caller_that_takes_no_bytes_counts_as_gone() {
    let gateway = FixedGateway::new(Source::Script(&[], Then::Flood));
    let dropped = gateway.dropped.clone();
    let server = launch_caller_server(gateway).await;
    let _socket = send_raw_completion(server.address(), true).await;
    let noticed = tokio::time::timeout(NOTICE_LIMIT, dropped.cancelled()).await;
    assert!(noticed.is_ok());
}

#[tokio::test]
async fn a_connection_whose_answer_takes_long_does_not_count_as_idle() {
    let (engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    engine.set_faults(faults(r#"{"first_event_delay_ms":2500}"#));
    let body = r#"{"model":"m","max_tokens":1,"messages":[{"role":"a"}]}"#;
    let url = format!("http://{}/v1/chat/completions", server.address());
    let response = reqwest::Client::new().post(url).body(body).send().await;
    assert_eq!(response.unwrap().status(), 200);
}
