//! Sessions with a plain service, without and with faults.

use super::transcript::Transcript;
use crate::caller::support::faults;
use crate::caller::support::launch_service_and_gateway;

const HEADERS: [&str; 3] = [
    "authorization: Bearer nursery",
    "idempotency-key: truck-7",
    "content-type: application/json",
];

#[tokio::test]
async fn bookings_and_their_failures() {
    let (service, server) = launch_service_and_gateway().await;
    let mut session = Transcript::new(server.address());
    let body = r#"{"truck":7}"#;
    session
        .send("a booking", "POST /bookings?day=1", &HEADERS, body)
        .await;
    session
        .send("another method", "DELETE /bookings/7", &HEADERS, "")
        .await;
    service.set_faults(faults(r#"{"failure_status_after_run":418}"#));
    session
        .send("a status of the service", "GET /stock", &HEADERS, "")
        .await;
    service.set_faults(faults(r#"{"truncated_after_bytes":10}"#));
    session
        .send(
            "an answer that is cut short",
            "POST /bookings",
            &HEADERS,
            body,
        )
        .await;
    service.set_faults(faults(r#"{"is_refusing":true}"#));
    session
        .send("a refusal", "POST /bookings", &HEADERS, body)
        .await;
    insta::assert_snapshot!(session.finish());
    assert_eq!(service.executions().executions.len(), 4);
}
