//! A connection remembers each request that failed on it, until it is closed.

use figramp::edge::FailedRequests;

/// More than a connection may carry.
const REQUESTS: usize = 10_000;

#[test]
fn no_request_is_forgotten_before_the_connection_is_closed() {
    let mut failed = FailedRequests::default();
    let mut request_ids = Vec::new();
    while !failed.is_full() {
        let request_id = format!("r{}", request_ids.len());
        assert!(!failed.contains(&request_id));
        failed.add(&request_id);
        request_ids.push(request_id);
        assert!(request_ids.len() < REQUESTS, "the memory is bounded");
    }
    assert!(
        request_ids.len() > 1,
        "a refusal does not close a connection"
    );
    for request_id in &request_ids {
        assert!(failed.contains(request_id), "{request_id}");
    }
}
