//! Answers of the store that break off or have no valid status are not taken for its content.

use figramp::platform::StoreClient;
use figramp::platform::StoreError;
use figramp::telemetry::ByteCounter;

use super::early_endpoint::EarlyAnswer;
use super::early_endpoint::EarlyEndpoint;
use super::early_endpoint::EARLY_ENDS;
use crate::fleet::support::topology;

const PAGE: &str = r#"{"storeRevision":7,"items":[],"truncated":false}"#;
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

async fn read(answer: EarlyAnswer) -> Result<u64, StoreError> {
    let store = EarlyEndpoint::launch(answer).await;
    let mut client = StoreClient::new(store.address(), topology(), ByteCounter::default());
    let content = tokio::task::LocalSet::new()
        .run_until(client.read())
        .await?;
    Ok(content.revision)
}

#[tokio::test]
async fn part_of_an_answer_is_not_the_content_of_the_store() {
    let cut = [
        ("HTTP/1.1 200 OK", "", &PAGE[..20]),
        ("HTTP/1.1 200 OK", "", ""),
        ("HTTP/1.0 200 OK", "", &PAGE[..20]),
        (
            "HTTP/1.1 200 OK",
            CHUNKED,
            "30\r\n{\"storeRevision\":7,\"items\"",
        ),
        (
            "HTTP/1.1 200 OK",
            CHUNKED,
            "30\r\n{\"storeRevision\":7,\"items\":[],\"truncated\":false}\r\n",
        ),
        ("HTTP/1.1 200 OK", "Content-Length: 49\r\n", PAGE),
    ];
    for (status_line, framing, body) in cut {
        for end in EARLY_ENDS {
            let answer = EarlyAnswer {
                status_line,
                framing,
                body,
                end,
            };
            let read = read(answer).await;
            assert!(read.is_err(), "{answer:?}: {read:?}");
        }
    }
}

#[tokio::test]
async fn no_answer_of_the_store_has_a_status_that_is_none() {
    for end in EARLY_ENDS {
        for status_line in [
            "HTTP/1.1 000 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 101 OK",
            "HTTP/1.1 999 OK",
        ] {
            let answer = EarlyAnswer {
                status_line,
                framing: "Content-Length: 48\r\n",
                body: PAGE,
                end,
            };
            let read = read(answer).await;
            assert!(read.is_err(), "{answer:?}: {read:?}");
        }
        let answer = EarlyAnswer {
            status_line: "HTTP/1.1 200 OK",
            framing: "Content-Length: 48\r\n",
            body: PAGE,
            end,
        };
        assert_eq!(read(answer).await.ok(), Some(7), "{end:?}");
    }
}
