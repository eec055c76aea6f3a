//! Answers that end before their endpoint has taken the whole upload.

use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::ConnectionEnd;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;

use super::early_endpoint::EarlyAnswer;
use super::early_endpoint::EarlyEnd;
use super::early_endpoint::EARLY_ENDS;
use super::early_endpoint::UPLOAD_BYTES;
use super::early_site::check_in_one_region;
use super::early_site::check_over_a_forward;
use super::early_site::send;
use super::early_site::site_for_uploads;
use super::support::any_port;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::EAST;

/// The status lines and the headers of answers whose body looks whole, or is cut, where the connection ends.
const CUT_FRAMINGS: [(&str, &str); 3] = [
    ("HTTP/1.1 200 OK", ""),
    ("HTTP/1.0 200 OK", ""),
    ("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n"),
];

const PART: &str = "do";
const EVENTS: &str = "id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n";
const PART_IN_A_CHUNK: &str = "2\r\ndo\r\n";
const EVENTS_IN_A_CHUNK: &str = "28\r\nid: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n\r\n";

fn cut_answers(line: &'static str, framing: &'static str, end: EarlyEnd) -> [EarlyAnswer; 2] {
    let bodies = match framing {
        "" => [PART, EVENTS],
        _ => [PART_IN_A_CHUNK, EVENTS_IN_A_CHUNK],
    };
    bodies.map(|body| EarlyAnswer {
        status_line: line,
        framing,
        body,
        end,
    })
}

#[tokio::test]
async fn part_of_an_answer_without_length_is_no_success_while_the_upload_is_sent() {
    for (line, framing) in CUT_FRAMINGS {
        for end in EARLY_ENDS {
            check_in_one_region(cut_answers(line, framing, end), UPLOAD_BYTES).await;
        }
    }
}

#[tokio::test]
async fn part_of_an_answer_without_length_is_no_success_over_a_forward() {
    for (line, framing) in CUT_FRAMINGS {
        for end in [EarlyEnd::LateReset, EarlyEnd::HalfClose] {
            check_over_a_forward(cut_answers(line, framing, end), UPLOAD_BYTES).await;
        }
    }
}

#[tokio::test]
async fn a_whole_answer_without_length_to_a_long_upload_is_passed_on() {
    let site = site_for_uploads(EAST).await;
    let mut proxies = Vec::new();
    for endpoints in [&site.plain, &site.engines] {
        site.store.remove(&endpoints[1].key());
        let proxy = UnframedProxy::launch(any_port(), endpoints[0].address()).await;
        let proxy = proxy.expect("a proxy");
        let record = endpoints[0].record_at(proxy.address(), "ready");
        site.store.put(&endpoints[0].key(), record);
        proxies.push(proxy);
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    for framing in [AnswerFraming::UntilClose, AnswerFraming::Http10] {
        for proxy in &proxies {
            proxy.set_answers(UnframedAnswers {
                framing,
                break_off: None,
                end: ConnectionEnd::HalfClose,
            });
        }
        let whole = [
            ("/book/x", "done".to_owned()),
            ("/tip-stream/x", whole_stream()),
        ];
        for (path, whole) in whole {
            let id = format!("{framing:?}{}", path.len());
            let answer = send(&vm, path, &id, UPLOAD_BYTES).await;
            assert_eq!(answer, Some((200, whole)), "{framing:?} {path}");
            assert_eq!(site.runs(&id), 1);
        }
    }
}
