//! Calls to services whose endpoint answers early.

use bytes::Bytes;
use figramp::endpoint::EndpointCall;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::HttpEndpointClient;
use figramp::errors::RunState;
use figramp::request::CallBody;
use figramp::request::HttpMethod;
use figramp::request::ServiceCall;

use super::support::outcome;
use super::support::service_at;
use super::support::service_call;
use crate::entry::early_endpoint::EarlyAnswer;
use crate::entry::early_endpoint::EarlyEndpoint;

pub(super) fn upload(method: HttpMethod, bytes: usize) -> EndpointCall {
    let call = service_call(method, "");
    EndpointCall {
        body: CallBody::Service(ServiceCall {
            method,
            path_and_query: "/bookings".to_owned(),
            content_type: None,
            body: Bytes::from(vec![b'x'; bytes]),
        }),
        ..call
    }
}

/// Checks that neither a read nor a call that must not be repeated gets the answer of an endpoint.
pub(super) async fn check_service(answer: EarlyAnswer, bytes: usize) {
    let early = EarlyEndpoint::launch(answer).await;
    let endpoint = service_at(early.address());
    for method in [HttpMethod::Post, HttpMethod::Get] {
        let client = HttpEndpointClient::new();
        let outcome = outcome(client.call(&endpoint, upload(method, bytes)).await).await;
        let error = outcome.end.expect_err(&format!("{answer:?} {method:?}"));
        assert_eq!(error.run, RunState::MayHaveRun, "{answer:?} {method:?}");
    }
    assert_eq!(early.total_arrival_count(), 2, "{answer:?}");
}
