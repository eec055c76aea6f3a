//! Answers that have neither a length nor chunks and end with their connection.

use figramp::catalog::Endpoint;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::request::HttpMethod;
use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::BreakOff;
use figramp::stand_in::deployment::ConnectionEnd;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::service::ServiceOptions;
use figramp::stand_in::service::ServiceServer;

use super::support::complete_text;
use super::support::completion;
use super::support::launch_engine;
use super::support::outcome;
use super::support::service_at;
use super::support::service_call;

const UNFRAMED: [AnswerFraming; 3] = [
    AnswerFraming::UntilClose,
    AnswerFraming::AnnouncedClose,
    AnswerFraming::Http10,
];

async fn proxy_before(endpoint: &Endpoint) -> (UnframedProxy, Endpoint) {
    let proxy = UnframedProxy::launch(([127, 0, 0, 1], 0).into(), endpoint.address).await;
    let proxy = proxy.expect("a proxy");
    let proxied = Endpoint {
        address: proxy.address(),
        ..endpoint.clone()
    };
    (proxy, proxied)
}

fn broken(after_events: usize, then_bytes: usize, end: ConnectionEnd) -> UnframedAnswers {
    UnframedAnswers {
        framing: AnswerFraming::UntilClose,
        break_off: Some(BreakOff {
            after_events,
            then_bytes,
        }),
        end,
    }
}

#[tokio::test]
async fn a_whole_answer_of_a_service_is_passed_on_and_a_reset_one_is_not_complete() {
    let service = ServiceServer::launch(ServiceOptions::default())
        .await
        .unwrap();
    let (proxy, endpoint) = proxy_before(&service_at(service.address())).await;
    let client = HttpEndpointClient::new();
    for framing in UNFRAMED {
        proxy.set_answers(UnframedAnswers {
            framing,
            ..UnframedAnswers::default()
        });
        for _ in 0..5 {
            let call = service_call(HttpMethod::Post, "one truck");
            let outcome = outcome(client.call(&endpoint, call).await).await;
            assert_eq!((outcome.status, outcome.end), (Some(200), Ok(())));
            assert!(outcome.text.ends_with(r#""body":"one truck"}"#));
        }
    }
    for then_bytes in [0, 20] {
        proxy.set_answers(broken(0, then_bytes, ConnectionEnd::Reset));
        let call = service_call(HttpMethod::Post, "two trucks");
        let error = outcome(client.call(&endpoint, call).await).await.end;
        let error = error.unwrap_err();
        assert_eq!(
            (error.kind, error.run),
            (ErrorKind::AnswerTruncated, RunState::MayHaveRun)
        );
    }
    assert_eq!(service.executions().count_of_body("two trucks"), 2);
    assert_eq!(proxy.bytes_after_end(), 0);
}

#[tokio::test]
async fn a_stream_is_complete_only_with_its_end_mark() {
    let (_engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    let (proxy, endpoint) = proxy_before(&endpoint).await;
    for framing in UNFRAMED {
        proxy.set_answers(UnframedAnswers {
            framing,
            ..UnframedAnswers::default()
        });
        let outcome = outcome(client.call(&endpoint, completion()).await).await;
        assert_eq!(outcome.end, Ok(()), "{framing:?}");
        assert_eq!(outcome.text, complete_text(), "{framing:?}");
    }
    for end in [ConnectionEnd::HalfClose, ConnectionEnd::Reset] {
        for (after_events, then_bytes) in [(0, 0), (0, 9), (2, 0), (2, 9)] {
            proxy.set_answers(broken(after_events, then_bytes, end));
            let outcome = outcome(client.call(&endpoint, completion()).await).await;
            let error = outcome.end.unwrap_err();
            assert_eq!(
                (error.kind, error.run),
                (ErrorKind::AnswerTruncated, RunState::MayHaveRun),
                "{after_events} {then_bytes} {end:?}"
            );
            assert!(complete_text().starts_with(&outcome.text));
        }
    }
    assert_eq!(proxy.bytes_after_end(), 0);
}
