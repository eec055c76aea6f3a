//! Answers that end before their endpoint has taken the whole upload.

use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::request::HttpMethod;
use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;
use figramp::stand_in::service::ServiceOptions;
use figramp::stand_in::service::ServiceServer;

use super::early_calls::check_service;
use super::early_calls::upload;
use super::support::outcome;
use super::support::service_at;
use crate::entry::early_endpoint::EarlyAnswer;
use crate::entry::early_endpoint::EARLY_ENDS;
use crate::entry::early_endpoint::UPLOAD_BYTES;

const CUT_FRAMINGS: [(&str, &str, &str); 3] = [
    ("HTTP/1.1 200 OK", "", "do"),
    ("HTTP/1.0 200 OK", "", "do"),
    (
        "HTTP/1.1 200 OK",
        "Transfer-Encoding: chunked\r\n",
        "2\r\ndo\r\n",
    ),
];

#[tokio::test]
async fn part_of_an_answer_without_length_is_not_complete_while_the_upload_is_sent() {
    for (status_line, framing, body) in CUT_FRAMINGS {
        for end in EARLY_ENDS {
            let answer = EarlyAnswer {
                status_line,
                framing,
                body,
                end,
            };
            check_service(answer, UPLOAD_BYTES).await;
        }
    }
}

#[tokio::test]
async fn a_whole_answer_without_length_to_a_long_upload_is_complete() {
    let service = ServiceServer::launch(ServiceOptions::default())
        .await
        .unwrap();
    let proxy = UnframedProxy::launch(([127, 0, 0, 1], 0).into(), service.address()).await;
    let proxy = proxy.expect("a proxy");
    let client = HttpEndpointClient::new();
    for framing in [AnswerFraming::UntilClose, AnswerFraming::Http10] {
        proxy.set_answers(UnframedAnswers {
            framing,
            ..UnframedAnswers::default()
        });
        let call = upload(HttpMethod::Post, 1_000_000);
        let answer = client.call(&service_at(proxy.address()), call).await;
        let outcome = outcome(answer).await;
        assert_eq!((outcome.status, outcome.end), (Some(200), Ok(())));
    }
}
