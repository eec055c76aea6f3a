//! The gateway's own answers promise nothing that is not true.

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
fn only_answers_to_requests_that_did_not_run_promise_so() {
    for kind in ALL {
        let is_promise = matches!(kind.status().as_u16(), 408 | 421 | 429 | 503);
        assert!(!is_promise || kind.is_not_run(), "{kind:?}");
    }
}

#[test]
fn the_time_to_come_back_is_told_in_seconds() {
    let refusal = Refusal::retry_after(RefusalKind::Overloaded, Duration::from_millis(350));
    let response = refusal.response();
    assert_eq!(response.status().as_u16(), 503);
    assert_eq!(response.headers()[header::RETRY_AFTER], "0.350");
}
