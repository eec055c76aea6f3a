//! A failure with an endpoint's signature has the status that the endpoint gave.

use figramp::deployment::RetrySafety;
use figramp::edge::may_pass_status;
use figramp::edge::AnswerSource;
use http::StatusCode;

const AT_MOST_ONCE: [RetrySafety; 2] = [RetrySafety::AtMostOnce, RetrySafety::AtMostOnceStream];
const RETRYABLE: [RetrySafety; 2] = [RetrySafety::Idempotent, RetrySafety::ResumableStream];
const UNNAMED: AnswerSource = AnswerSource::Vm {
    endpoint_status: None,
};

fn status(code: u16) -> StatusCode {
    StatusCode::from_u16(code).expect("a status")
}

#[test]
fn a_status_that_implies_no_run_does_not_follow_a_run_that_must_not_be_repeated() {
    for retry_safety in AT_MOST_ONCE {
        for code in [408, 421, 429, 503] {
            let source = AnswerSource::Endpoint;
            assert!(!may_pass_status(retry_safety, status(code), source));
            assert!(!may_pass_status(retry_safety, status(code), UNNAMED));
        }
    }
}

#[test]
fn other_failures_pass_unchanged() {
    for retry_safety in AT_MOST_ONCE {
        for code in [400, 404, 500, 504] {
            let source = AnswerSource::Endpoint;
            assert!(may_pass_status(retry_safety, status(code), source));
            assert!(may_pass_status(retry_safety, status(code), UNNAMED));
        }
        assert!(may_pass_status(
            retry_safety,
            status(502),
            AnswerSource::Endpoint
        ));
    }
}

#[test]
fn all_failures_of_retryable_requests_pass_unchanged() {
    for retry_safety in RETRYABLE {
        for code in [408, 421, 429, 500, 502, 503] {
            let source = AnswerSource::Endpoint;
            assert!(may_pass_status(retry_safety, status(code), source));
            assert!(may_pass_status(retry_safety, status(code), UNNAMED));
        }
    }
}

/// Guards against a signed 502 from a VM of an earlier build whose endpoint answered with 503.
#[test]
fn a_502_of_a_vm_that_does_not_name_the_status_of_the_endpoint_is_not_the_endpoints() {
    for retry_safety in AT_MOST_ONCE {
        let named = AnswerSource::Vm {
            endpoint_status: Some(status(502)),
        };
        assert!(may_pass_status(retry_safety, status(502), named));
        assert!(!may_pass_status(retry_safety, status(502), UNNAMED));
    }
}
