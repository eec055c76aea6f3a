//! Copies of refusals that come where the answer to the next call of a connection is due.

use std::time::Duration;

use figramp::catalog::Endpoint;
use figramp::catalog::EndpointKind;
use figramp::catalog::Name;
use figramp::catalog::TicketNumber;
use figramp::endpoint::EndpointCall;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::EndpointOrder;
use figramp::endpoint::HttpEndpointClient;
use figramp::endpoint::OrderOutcome;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::request::CallBody;
use figramp::request::HttpMethod;
use tokio::time::sleep;
use tokio::time::timeout;

use super::copying_endpoint::CopyingEndpoint;
use super::support::completion;
use super::support::outcome;
use super::support::service_call;
use super::support::Outcome;
use crate::caller::support::endpoint;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

struct Client {
    copying: CopyingEndpoint,
    endpoint: Endpoint,
    client: HttpEndpointClient,
}

impl Client {
    async fn launch(kind: EndpointKind, is_naming: bool) -> Self {
        let copying = CopyingEndpoint::launch(is_naming).await;
        let endpoint = endpoint(kind, copying.address);
        Self {
            copying,
            endpoint,
            client: HttpEndpointClient::new(),
        }
    }

    async fn call(&self, call: EndpointCall) -> Outcome {
        outcome(self.client.call(&self.endpoint, call).await).await
    }

    /// Makes a call that is served and one that is refused.
    async fn be_refused(&self, call: impl Fn() -> EndpointCall) {
        assert_eq!(self.call(call()).await.end, Ok(()));
        self.copying.set_refusing(true);
        let error = self.call(call()).await.end.unwrap_err();
        assert_eq!(
            (error.kind, error.run),
            (ErrorKind::EndpointRefused, RunState::NotRun)
        );
        self.copying.set_refusing(false);
    }
}

fn read(path: &str) -> EndpointCall {
    let mut call = service_call(HttpMethod::Get, "");
    if let CallBody::Service(service) = &mut call.body {
        path.clone_into(&mut service.path_and_query);
    }
    call
}

#[tokio::test]
async fn a_completion_that_runs_is_not_called_refused_and_is_cancelled() {
    let client = Client::launch(EndpointKind::Engine, true).await;
    client.be_refused(completion).await;
    let error = client.call(completion()).await.end.unwrap_err();
    let state = client.copying.state();
    assert_eq!((state.runs.len(), state.copies), (2, 1));
    assert_eq!(
        (error.kind, error.run),
        (ErrorKind::EndpointFailed, RunState::MayHaveRun)
    );
    let cancelled = async {
        while client.copying.state().cancels.is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(CANCEL_TIMEOUT, cancelled).await.unwrap();
    let cancels = client.copying.state().cancels;
    assert!(cancels[0].ends_with(&format!("?attempt={}", state.runs[1])));
    let outcome = client.call(completion()).await;
    assert_eq!((outcome.end, outcome.text.as_str()), (Ok(()), "whole"));
}

#[tokio::test]
async fn a_completion_is_served_by_an_endpoint_whose_answers_name_no_attempt() {
    let client = Client::launch(EndpointKind::Engine, false).await;
    client.be_refused(completion).await;
    for _ in 0..3 {
        let outcome = client.call(completion()).await;
        assert_eq!((outcome.end, outcome.text.as_str()), (Ok(()), "whole"));
    }
    assert_eq!(client.copying.state().copies, 0);
}

#[tokio::test]
async fn a_read_gets_no_answer_of_another_call() {
    for is_naming in [true, false] {
        let client = Client::launch(EndpointKind::Service, is_naming).await;
        client.be_refused(|| read("/first")).await;
        let mut outcomes = Vec::new();
        for path in ["/second", "/third", "/fourth"] {
            outcomes.push((path, client.call(read(path)).await));
        }
        for (path, outcome) in &outcomes {
            let is_own = outcome.end.is_err() || outcome.text == *path;
            assert!(is_own, "{path} got {}", outcome.text);
        }
        for (path, outcome) in outcomes {
            let Err(error) = outcome.end else { continue };
            assert_eq!(
                (error.kind, error.run, path, is_naming),
                (
                    ErrorKind::EndpointFailed,
                    RunState::MayHaveRun,
                    "/second",
                    true
                ),
            );
        }
    }
}

#[tokio::test]
async fn a_service_whose_answers_name_attempts_no_longer_is_served() {
    let client = Client::launch(EndpointKind::Service, true).await;
    for path in ["/first", "/second"] {
        assert_eq!(client.call(read(path)).await.text, path);
    }
    client.copying.stop_naming();
    let error = client.call(read("/third")).await.end.unwrap_err();
    assert_eq!(
        (error.kind, error.run),
        (ErrorKind::EndpointFailed, RunState::MayHaveRun)
    );
    client.be_refused(|| read("/fourth")).await;
    for path in ["/fifth", "/sixth"] {
        assert_eq!(client.call(read(path)).await.text, path);
    }
}

#[tokio::test]
async fn an_engine_whose_answers_name_attempts_no_longer_is_served_at_once() {
    let client = Client::launch(EndpointKind::Engine, true).await;
    for _ in 0..2 {
        assert_eq!(client.call(completion()).await.text, "whole");
    }
    client.copying.stop_naming();
    client.be_refused(completion).await;
    assert_eq!(client.call(completion()).await.text, "whole");
}

#[tokio::test]
async fn a_fenced_order_is_not_called_accepted() {
    for is_naming in [true, false] {
        let client = Client::launch(EndpointKind::Engine, is_naming).await;
        let order = || EndpointOrder {
            fencing: TicketNumber(6),
            model: Name::new("advice").unwrap(),
            version: Name::new("v2").unwrap(),
        };
        client.copying.set_refusing(true);
        let refused = client.client.order(&client.endpoint, order()).await;
        assert!(refused.is_err());
        client.copying.set_refusing(false);
        let accepted = client.client.order(&client.endpoint, order()).await;
        client.copying.start_fencing();
        let fenced = client.client.order(&client.endpoint, order()).await;
        let highest = TicketNumber(7);
        assert_eq!(
            (accepted, fenced),
            (
                Ok(OrderOutcome::Accepted),
                Ok(OrderOutcome::Fenced { highest })
            )
        );
    }
}

#[tokio::test]
async fn an_earlier_load_report_is_not_taken_for_the_latest() {
    let client = Client::launch(EndpointKind::Engine, true).await;
    client.copying.set_refusing(true);
    assert!(client.client.load(&client.endpoint, 1).await.is_err());
    client.copying.set_refusing(false);
    assert!(client.client.load(&client.endpoint, 2).await.is_err());
    let report = client.client.load(&client.endpoint, 3).await.unwrap();
    assert_eq!(
        (report.cache_sequence, client.copying.state().copies),
        (3, 1)
    );
}
