//! Sessions that list the models and the entry VMs.

use figramp::stand_in::engine::EngineOptions;

use super::transcript::Transcript;
use crate::caller::support::launch_engine_and_gateway;

#[tokio::test]
async fn models_and_entries() {
    let (_engine, server) = launch_engine_and_gateway(EngineOptions::default()).await;
    let mut session = Transcript::new(server.address());
    session.send("the models", "GET /v1/models", &[], "").await;
    session
        .send("the VMs to use", "GET /v1/entries", &[], "")
        .await;
    insta::assert_snapshot!(session.finish());
}
