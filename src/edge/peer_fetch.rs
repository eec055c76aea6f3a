//! Transfers configurations and listings between VMs over HTTP, as they can exceed a datagram.

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
use crate::fleet::encode_message;
use crate::fleet::FleetMessage;
use crate::fleet::MessageDigest;

const CONFIGURATION_PATH: &str = "/v1/configuration";

const LISTING_PATH: &str = "/v1/listing";

/// The timeout of a fetch: enough for a few megabytes between two regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Answers another VM's request for the configuration or the listing of endpoints.
pub(super) fn answer(state: &EntryState, target: &Uri) -> Response<EdgeBody> {
    let held = match target.path() {
        CONFIGURATION_PATH => configuration(state),
        LISTING_PATH => listing(state),
        _ => None,
    };
    let Some(held) = held else {
        let mut response = Response::new(whole(""));
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    Response::new(whole(held))
}

fn configuration(state: &EntryState) -> Option<Bytes> {
    let belief = state.belief.borrow();
    let configuration = belief.configuration()?;
    Some(configuration.encoded.clone())
}

fn listing(state: &EntryState) -> Option<Bytes> {
    let belief = state.belief.borrow();
    let now = state.now();
    let message = FleetMessage {
        sent_at: now,
        request_sent_at: None,
        digest: MessageDigest::new(&belief.digest(), now),
        rows: vec![state.fleet.borrow().local_row().clone()],
        listing: Some(belief.listing().as_ref().clone()),
    };
    match encode_message(&message) {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(error) => {
            log::error!(error:% = error; "encoding the listing of endpoints failed");
            None
        }
    }
}

/// Fetches the published configuration from another VM.
///
/// # Errors
///
/// Returns an [`UpstreamError`] if the VM cannot be reached or has no configuration.
pub async fn fetch_configuration(
    state: &EntryState,
    address: SocketAddr,
) -> Result<Bytes, UpstreamError> {
    fetch(state, address, CONFIGURATION_PATH).await
}

/// Fetches the listing of endpoints from another VM, as an encoded message.
///
/// # Errors
///
/// Returns an [`UpstreamError`] if the VM cannot be reached.
pub async fn fetch_listing(
    state: &EntryState,
    address: SocketAddr,
) -> Result<Bytes, UpstreamError> {
    fetch(state, address, LISTING_PATH).await
}

async fn fetch(
    state: &EntryState,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, UpstreamError> {
    match timeout(FETCH_TIMEOUT, get(state, address, path)).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::Timeout(FETCH_TIMEOUT)),
    }
}

async fn get(
    state: &EntryState,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, UpstreamError> {
    let pool = &state.connection_pool;
    let mut connection = pool
        .acquire(state.now(), address, Duration::MAX, CONNECT_TIMEOUT)
        .await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .expect("the paths are constants");
    let response = connection.send(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(UpstreamError::Broken)?.to_bytes();
    pool.release(state.now(), connection);
    if !status.is_success() {
        return Err(UpstreamError::PeerStatus(status.as_u16()));
    }
    Ok(body)
}
