//! Hands the published configuration from VM to VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time::timeout;

use super::edge_body::whole;
use super::EdgeBody;
use super::UpstreamError;
use crate::entry::EntryState;

const PATH: &str = "/v1/configuration";

/// The longest time for a configuration of a few megabytes between two regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers another VM that asks for the configuration.
pub(super) fn answer(state: &EntryState, target: &Uri) -> Response<EdgeBody> {
    let belief = state.belief.borrow();
    match belief.configuration() {
        Some(configuration) if target.path() == PATH => {
            Response::new(whole(configuration.encoded.clone()))
        }
        _ => {
            let mut response = Response::new(whole(""));
            *response.status_mut() = StatusCode::NOT_FOUND;
            response
        }
    }
}

/// Fetches the published configuration from another VM.
///
/// # Errors
///
/// Returns an [`UpstreamError`] if the VM cannot be reached or has none.
pub async fn fetch_configuration(
    state: &EntryState,
    address: SocketAddr,
) -> Result<Bytes, UpstreamError> {
    match timeout(FETCH_TIMEOUT, fetch(state, address)).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::Silent(FETCH_TIMEOUT)),
    }
}

async fn fetch(state: &EntryState, address: SocketAddr) -> Result<Bytes, UpstreamError> {
    let upstream = &state.upstream;
    let mut lease = upstream
        .connection(state.now(), address, Duration::MAX, CONNECT_TIMEOUT)
        .await?;
    let request = Request::get(PATH)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .expect("the path is a constant");
    let response = lease.send(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(UpstreamError::Broken)?.to_bytes();
    upstream.give_back(state.now(), lease);
    if !status.is_success() {
        return Err(UpstreamError::PeerStatus(status.as_u16()));
    }
    Ok(body)
}
