//! Answers without a valid status.

use super::early_endpoint::EarlyAnswer;
use super::early_endpoint::EarlyEnd;
use super::early_site::check_in_one_region;
use super::early_site::check_over_a_forward;

/// Status lines that are none of an answer.
const INVALID_STATUS_LINES: [&str; 6] = [
    "HTTP/1.1 000 OK",
    "HTTP/1.0 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 101 Switching Protocols",
];

const EVENTS: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";

fn answers_with(status_line: &'static str) -> [EarlyAnswer; 2] {
    [
        ("Content-Length: 4\r\n", "done"),
        ("Content-Length: 40\r\n", EVENTS),
    ]
    .map(|(framing, body)| EarlyAnswer {
        status_line,
        framing,
        body,
        end: EarlyEnd::Close,
    })
}

#[tokio::test]
async fn no_answer_has_a_status_that_is_none() {
    for line in INVALID_STATUS_LINES {
        check_in_one_region(answers_with(line), 100).await;
    }
}

#[tokio::test]
async fn no_answer_over_a_forward_has_a_status_that_is_none() {
    for line in INVALID_STATUS_LINES {
        check_over_a_forward(answers_with(line), 100).await;
    }
}
