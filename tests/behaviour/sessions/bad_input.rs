//! Malformed requests and the errors that callers get for them.

use figramp::stand_in::engine::EngineOptions;

use super::transcript::Transcript;
use crate::caller::support::launch_engine_and_gateway;
use crate::caller::support::BODY_MAX_BYTES;

const LINE: &str = "POST /v1/chat/completions";
const GOOD: &str = r#"{"model":"advice","max_tokens":1,"messages":[{"role":"user"}]}"#;

#[tokio::test]
async fn bad_requests_get_a_clear_error() {
    let (engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    let mut session = Transcript::new(server.address());
    let bodies = [
        ("no JSON", "nonsense"),
        (
            "a field of a wrong type",
            r#"{"model":"m","messages":[{"role":1}]}"#,
        ),
        ("a missing field", r#"{"messages":[]}"#),
        ("no messages", r#"{"model":"m","messages":[]}"#),
        (
            "a model name outside the set",
            r#"{"model":"m m","messages":[{"role":"a"}]}"#,
        ),
        (
            "no room for an answer",
            r#"{"model":"m","max_tokens":0,"messages":[{"role":"a"}]}"#,
        ),
        (
            "a token count that overflows",
            r#"{"model":"m","max_tokens":18446744073709551616,"messages":[{"role":"a"}]}"#,
        ),
        (
            "the highest token count",
            r#"{"model":"m","max_tokens":18446744073709551615,"messages":[{"role":"a"}]}"#,
        ),
        (
            "text after the JSON",
            r#"{"model":"m","messages":[{"role":"a"}]} x"#,
        ),
    ];
    for (title, body) in bodies {
        session.send(title, LINE, &[], body).await;
    }
    let too_long = "x".repeat(usize::try_from(BODY_MAX_BYTES).unwrap() + 1);
    session
        .send("a body over the limit", LINE, &[], &too_long)
        .await;

    let headers = [
        ("another scheme", "authorization: Basic eDp5"),
        ("an empty key", "authorization: Bearer "),
        (
            "two keys",
            "authorization: Bearer a\r\nauthorization: Bearer b",
        ),
        (
            "an idempotency key with a space",
            "idempotency-key: truck 7",
        ),
    ];
    for (title, header) in headers {
        session.send(title, LINE, &[header], GOOD).await;
    }
    let form = ["content-type: application/x-www-form-urlencoded"];
    let body = "_method=delete&truck=7";
    session
        .send("a form that overrides its method", "POST /b", &form, body)
        .await;
    session
        .send("a method that is not served", "TRACE /b", &[], "")
        .await;
    session.send("an unknown method", "BOOK /b", &[], "").await;
    session.send_raw("no HTTP", "hello\r\n\r\n").await;
    session
        .send("afterwards", LINE, &["authorization: Bearer a"], GOOD)
        .await;
    insta::assert_snapshot!(session.finish());
    assert_eq!(engine.counts().started, 1);
}
