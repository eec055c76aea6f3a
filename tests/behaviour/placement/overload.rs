//! Only requests whose answers would be late are refused.

use std::time::Duration;

use figramp::placement::overload_retry_after;
use figramp::placement::OverloadQuery;
use quickcheck::quickcheck;

const QUERY: OverloadQuery = OverloadQuery {
    expected_ms: 2_000.0,
    target_ms: 1_200.0,
    is_busy: true,
};

#[test]
fn a_request_that_would_be_late_at_a_busy_endpoint_is_refused() {
    let retry_after = overload_retry_after(&QUERY).expect("refused");
    assert!(retry_after >= Duration::from_millis(300));
}

#[test]
fn a_request_is_not_refused_while_slots_are_free() {
    let query = OverloadQuery {
        is_busy: false,
        ..QUERY
    };
    assert_eq!(overload_retry_after(&query), None);
}

/// Simulates an endpoint under overload and returns the number of answers that are on time.
///
/// Requests arrive every 5 ms and are served in order, for 10 ms each.
fn on_time_count(has_refusals: bool) -> usize {
    let (work_ms, interval_ms, target_ms) = (10.0, 5.0, 1_200.0);
    let mut free_at_ms = 0.0_f64;
    let mut on_time_count = 0;
    for index in 0..4_000 {
        let now_ms = f64::from(index) * interval_ms;
        let expected_ms = (free_at_ms - now_ms).max(0.0) + work_ms;
        let query = OverloadQuery {
            expected_ms,
            target_ms,
            is_busy: expected_ms > 100.0,
        };
        if has_refusals && overload_retry_after(&query).is_some() {
            continue;
        }
        free_at_ms = free_at_ms.max(now_ms) + work_ms;
        on_time_count += usize::from(expected_ms <= target_ms);
    }
    on_time_count
}

#[test]
fn at_twice_the_capacity_refusals_keep_answers_on_time() {
    let (with, without) = (on_time_count(true), on_time_count(false));
    assert!(with > 1_900, "{with} of 2,000 that can be served");
    assert!(without < 600, "{without}");
}

quickcheck! {
    fn a_request_that_is_well_on_time_is_never_refused(expected_ms: u16, is_busy: bool) -> bool {
        let expected_ms = f64::from(expected_ms);
        let query = OverloadQuery { expected_ms, is_busy, ..QUERY };
        expected_ms > 0.7 * QUERY.target_ms || overload_retry_after(&query).is_none()
    }
}
