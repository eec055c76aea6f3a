//! Callers that disconnect or stop reading, and connections that wait for an answer.

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

const DETECTION_TIMEOUT: Duration = Duration::from_secs(5);

async fn assert_disconnect_drops_answer(tokens: &'static [&'static str], is_stream: bool) {
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
    let detected = tokio::time::timeout(DETECTION_TIMEOUT, dropped.cancelled()).await;
    assert!(detected.is_ok(), "tokens {tokens:?}, stream {is_stream}");
}

#[tokio::test]
async fn a_disconnect_drops_the_answer_while_no_token_arrives() {
    assert_disconnect_drops_answer(&[], true).await;
    assert_disconnect_drops_answer(&["soil "], true).await;
    assert_disconnect_drops_answer(&["soil "], false).await;
}

#[tokio::test]
async fn a_disconnect_cancels_the_request_at_the_engine() {
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
        tokio::time::timeout(DETECTION_TIMEOUT, cancelled)
            .await
            .unwrap();
    }
}

#[tokio::test]
async fn a_caller_that_reads_no_bytes_is_disconnected() {
    let gateway = FixedGateway::new(Source::Script(&[], Then::Flood));
    let dropped = gateway.dropped.clone();
    let server = launch_caller_server(gateway).await;
    let _socket = send_raw_completion(server.address(), true).await;
    let detected = tokio::time::timeout(DETECTION_TIMEOUT, dropped.cancelled()).await;
    assert!(detected.is_ok());
}

#[tokio::test]
async fn a_connection_that_waits_for_an_answer_is_not_idle() {
    let (engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    engine.set_faults(faults(r#"{"first_event_delay_ms":2500}"#));
    let body = r#"{"model":"m","max_tokens":1,"messages":[{"role":"a"}]}"#;
    let url = format!("http://{}/v1/chat/completions", server.address());
    let response = reqwest::Client::new().post(url).body(body).send().await;
    assert_eq!(response.unwrap().status(), 200);
}
