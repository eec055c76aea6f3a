//! Refusals use a status that means "did not run" only if the request did not run.

use std::time::Duration;

use figramp::edge::Refusal;
use figramp::edge::RefusalKind;
use http::header;

const ALL: [RefusalKind; 12] = [
    RefusalKind::Malformed,
    RefusalKind::BodyTooLarge,
    RefusalKind::InvalidKey,
    RefusalKind::UnknownRoute,
    RefusalKind::RateLimited,
    RefusalKind::NotReady,
    RefusalKind::Overloaded,
    RefusalKind::NoEndpoint,
    RefusalKind::EndpointsFull,
    RefusalKind::Failed,
    RefusalKind::TimedOut,
    RefusalKind::TooLate,
];

#[test]
fn no_refusal_after_a_run_has_a_status_that_implies_no_run() {
    for kind in ALL {
        let implies_not_run = matches!(kind.status().as_u16(), 408 | 421 | 429 | 503);
        assert!(!implies_not_run || kind.is_not_run(), "{kind:?}");
    }
}

#[test]
fn retry_after_is_in_seconds() {
    let refusal = Refusal::retry_after(RefusalKind::Overloaded, Duration::from_millis(350));
    let response = refusal.response();
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()[header::RETRY_AFTER], "0.350");
}
