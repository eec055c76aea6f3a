//! Sessions with a model, without and with refusals and faults.

use figramp::stand_in::engine::EngineOptions;

use super::transcript::Transcript;
use crate::caller::support::faults;
use crate::caller::support::launch_engine_and_gateway;

const LINE: &str = "POST /v1/chat/completions";
const STREAM: &str = r#"{"model":"advice","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;
const WHOLE: &str =
    r#"{"model":"advice","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}"#;

#[tokio::test]
async fn answers_and_refusals() {
    let (engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    let mut session = Transcript::new(server.address());
    let key = ["authorization: Bearer nursery"];
    session.send("a stream", LINE, &key, STREAM).await;
    session.send("a whole answer", LINE, &key, WHOLE).await;
    let busy = ["authorization: Bearer busy"];
    session
        .send("an account over its rate", LINE, &busy, STREAM)
        .await;
    let revoked = ["authorization: Bearer withdrawn"];
    session.send("a withdrawn key", LINE, &revoked, WHOLE).await;
    engine.set_faults(faults(r#"{"is_refusing":true}"#));
    session
        .send("an engine that refuses", LINE, &key, STREAM)
        .await;
    engine.set_faults(faults(r#"{"truncated_after_chunks":1}"#));
    session
        .send("a stream that is cut short", LINE, &key, STREAM)
        .await;
    session
        .send("a whole answer that is cut short", LINE, &key, WHOLE)
        .await;
    insta::assert_snapshot!(session.finish());
}
