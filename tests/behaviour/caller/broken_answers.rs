//! Answers that fail before their end mark are never ended as if they were whole.

use super::support::launch_caller_server;
use super::support::read_to_close;
use super::support::send_raw_completion;
use super::support::ScriptedGateway;
use super::support::Then;

const LAST_CHUNK: &str = "\r\n0\r\n\r\n";

async fn raw_answer(then: Then, is_stream: bool) -> String {
    let gateway = ScriptedGateway::new(&["soil ", "rain "], then);
    let server = launch_caller_server(gateway).await;
    let mut socket = send_raw_completion(server.address(), is_stream).await;
    read_to_close(&mut socket).await
}

#[tokio::test]
async fn a_failed_stream_is_broken_off_after_an_error_event() {
    for (then, kind) in [
        (Then::Fail, "answer_silent"),
        (Then::Stop, "answer_truncated"),
    ] {
        let answer = raw_answer(then, true).await;
        assert!(
            answer.contains("soil ") && answer.contains("rain "),
            "{answer}"
        );
        assert!(
            answer.contains("event: error\ndata: {\"error\":"),
            "{answer}"
        );
        assert!(answer.contains(kind), "{answer}");
        assert!(answer.trim_end().ends_with("}}"), "{answer}");
        assert!(
            !answer.ends_with(LAST_CHUNK) && !answer.contains("[DONE]"),
            "{answer}"
        );
    }
}

#[tokio::test]
async fn a_failed_stream_is_an_error_to_an_http_client() {
    let gateway = ScriptedGateway::new(&["soil "], Then::Fail);
    let server = launch_caller_server(gateway).await;
    let url = format!("http://{}/v1/chat/completions", server.address());
    let body = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
    let response = reqwest::Client::new()
        .post(url)
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    assert!(response.bytes().await.is_err());
}

#[tokio::test]
async fn a_failure_before_the_first_byte_is_an_error_status() {
    let gateway = ScriptedGateway::new(&["soil "], Then::Fail);
    let server = launch_caller_server(gateway).await;
    let url = format!("http://{}/v1/chat/completions", server.address());
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
    let response = reqwest::Client::new()
        .post(url)
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 504);
    let text = response.text().await.unwrap();
    assert!(
        text.contains("may_have_run") && !text.contains("soil"),
        "{text}"
    );
}
