//! Answers without a valid status.

use figramp::catalog::EndpointKind;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;

use super::early_calls::check_service;
use super::support::completion;
use super::support::outcome;
use crate::caller::support::endpoint;
use crate::entry::early_endpoint::EarlyAnswer;
use crate::entry::early_endpoint::EarlyEnd;
use crate::entry::early_endpoint::EarlyEndpoint;

const INVALID_STATUS_LINES: [&str; 6] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 101 Switching Protocols",
];

#[tokio::test]
async fn no_answer_has_a_status_that_is_none() {
    for status_line in INVALID_STATUS_LINES {
        let answer = EarlyAnswer {
            status_line,
            framing: "Content-Length: 4\r\n",
            body: "done",
            end: EarlyEnd::Close,
        };
        check_service(answer, 100).await;
        let early = EarlyEndpoint::launch(answer).await;
        let engine = endpoint(EndpointKind::Engine, early.address());
        let client = HttpEndpointClient::new();
        let outcome = outcome(client.call(&engine, completion()).await).await;
        assert!(outcome.end.is_err(), "{status_line}");
        assert_eq!(outcome.status, None, "{status_line}");
    }
}
