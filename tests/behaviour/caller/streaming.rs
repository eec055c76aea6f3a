//! Streamed completions, end to end.

use figramp::stand_in::engine::answer_tokens;
use figramp::stand_in::engine::EngineOptions;

use super::support::launch_engine_and_gateway;

const BODY: &str = r#"{"model":"advice","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}"#;

#[tokio::test]
async fn a_stream_carries_every_token_and_ends_with_done() {
    let (_engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    let url = format!("http://{}/v1/chat/completions", server.address());
    let response = reqwest::Client::new()
        .post(url)
        .body(BODY)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.headers().contains_key("x-request-id"));
    let text = response.text().await.unwrap();
    let contents: String = text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
        .filter_map(|chunk| Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect();
    assert_eq!(contents, answer_tokens(BODY, 5).concat());
    assert!(text.ends_with("data: [DONE]\n\n"));
}
