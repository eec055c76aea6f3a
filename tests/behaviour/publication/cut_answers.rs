//! Answers of the platform that break off or have no valid status are not taken for a list.

use std::time::Duration;

use figramp::publication::HttpPlatformClient;
use figramp::publication::PlatformClient;
use figramp::publication::PlatformError;
use figramp::publication::VmListEntry;

use crate::entry::early_endpoint::EarlyAnswer;
use crate::entry::early_endpoint::EarlyEndpoint;
use crate::entry::early_endpoint::EARLY_ENDS;

const TIMEOUT: Duration = Duration::from_secs(2);
const LIST: &str = r#"{"vms":[]}"#;
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

async fn vms(answer: EarlyAnswer) -> Result<Vec<VmListEntry>, PlatformError> {
    let platform = EarlyEndpoint::launch(answer).await;
    let client = HttpPlatformClient::new(platform.address(), TIMEOUT)?;
    client.vms().await
}

#[tokio::test]
async fn part_of_an_answer_is_no_list() {
    let cut = [
        ("HTTP/1.1 200 OK", "", &LIST[..8]),
        ("HTTP/1.1 200 OK", "", ""),
        ("HTTP/1.0 200 OK", "", &LIST[..8]),
        ("HTTP/1.1 200 OK", CHUNKED, "a\r\n{\"vms\":[]}\r\n"),
        ("HTTP/1.1 200 OK", "Content-Length: 11\r\n", LIST),
    ];
    for (status_line, framing, body) in cut {
        for end in EARLY_ENDS {
            let answer = EarlyAnswer {
                status_line,
                framing,
                body,
                end,
            };
            let vms = vms(answer).await;
            assert!(vms.is_err(), "{answer:?}: {vms:?}");
        }
    }
}

#[tokio::test]
async fn no_list_has_a_status_that_is_none() {
    for end in EARLY_ENDS {
        for status_line in [
            "HTTP/1.1 000 OK",
            "HTTP/1.1 099 OK",
            "HTTP/1.1 101 OK",
            "HTTP/1.1 999 OK",
        ] {
            let answer = EarlyAnswer {
                status_line,
                framing: "Content-Length: 10\r\n",
                body: LIST,
                end,
            };
            let vms = vms(answer).await;
            assert!(vms.is_err(), "{answer:?}: {vms:?}");
        }
        let answer = EarlyAnswer {
            status_line: "HTTP/1.1 200 OK",
            framing: "Content-Length: 10\r\n",
            body: LIST,
            end,
        };
        assert_eq!(vms(answer).await, Ok(Vec::new()), "{end:?}");
    }
}
