//! Dispatches requests by the role of the port that received them.

use std::convert::Infallible;
use std::rc::Rc;

use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::client_connection::ClientConnection;
use super::directory;
use super::edge_body::whole;
use super::forward_headers;
use super::forward_headers::ForwardHeaders;
use super::peer_fetch;
use super::request_intake;
use super::EdgeBody;
use super::EdgeRole;
use crate::entry::EntryState;
use crate::fleet::VmPhase;
use crate::platform::DirectoryQuery;

/// Answers a request received on a port of the given role.
pub(super) async fn handle(
    role: EdgeRole,
    state: Rc<EntryState>,
    client: ClientConnection,
    mut request: Request<Incoming>,
    is_draining: bool,
) -> Result<Response<EdgeBody>, Infallible> {
    let mut response = match role {
        EdgeRole::Directory => directory::resolve(&state, request.uri()),
        EdgeRole::Readiness => readiness(&state, &request),
        EdgeRole::Metrics => metrics(&state),
        EdgeRole::Peers => match ForwardHeaders::decode(request.headers()) {
            Some(forwarded) => request_intake::serve(state, client, request, Some(forwarded)).await,
            None => peer_fetch::answer(&state, &request),
        },
        EdgeRole::Clients => {
            forward_headers::strip(request.headers_mut());
            let mut response = request_intake::serve(state, client, request, None).await;
            forward_headers::strip(response.headers_mut());
            response
        }
    };
    if is_draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

fn metrics(state: &EntryState) -> Response<EdgeBody> {
    match state.metrics_text() {
        Ok(text) => Response::new(whole(text)),
        Err(error) => {
            log::error!(error:% = error; "encoding the metrics failed");
            let mut response = Response::new(whole(""));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}

fn readiness(state: &EntryState, request: &Request<Incoming>) -> Response<EdgeBody> {
    let is_ready =
        DirectoryQuery::is_readiness_check(request.uri()) && state.phase() == VmPhase::Ready;
    let mut response = Response::new(whole(""));
    if !is_ready {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
