//! Transfers configurations and listings between VMs over HTTP, as they can exceed a datagram.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time::timeout;

use super::connection_query::ConnectionQuery;
use super::edge_body::whole;
use super::peer_encoding::compress;
use super::peer_encoding::decompress;
use super::peer_encoding::ENCODING;
use super::EdgeBody;
use super::UpstreamError;
use crate::belief::Configuration;
use crate::entry::EntryState;
use crate::fleet::encode_message;
use crate::fleet::FleetMessage;
use crate::fleet::MessageCrashes;
use crate::fleet::MessageDigest;
use crate::fleet::MessageVersions;
use crate::telemetry::ByteCounter;
use crate::telemetry::ByteKind;

const CONFIGURATION_PATH: &str = "/v1/configuration";

const LISTING_PATH: &str = "/v1/listing";

/// The timeout of a fetch: enough for a few megabytes between two regions.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest configuration or listing that is accepted from another VM.
const BODY_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Answers another VM's request for the configuration or the listing of endpoints.
pub(super) fn answer<B>(state: &EntryState, request: &Request<B>) -> Response<EdgeBody> {
    let held = match request.uri().path() {
        CONFIGURATION_PATH => configuration(state, accepts_compressed(request.headers())),
        LISTING_PATH => listing(state).map(|listing| Response::new(whole(listing))),
        _ => None,
    };
    held.unwrap_or_else(|| {
        let mut response = Response::new(whole(""));
        *response.status_mut() = StatusCode::NOT_FOUND;
        response
    })
}

/// Returns whether the other VM accepts a compressed body; earlier builds do not.
fn accepts_compressed(headers: &HeaderMap) -> bool {
    headers.get(header::ACCEPT_ENCODING) == Some(&HeaderValue::from_static(ENCODING))
}

fn configuration(state: &EntryState, accepts_compressed: bool) -> Option<Response<EdgeBody>> {
    let belief = state.belief.borrow();
    let configuration = belief.configuration()?;
    let compressed = match accepts_compressed {
        true => compressed(configuration),
        false => None,
    };
    let Some(compressed) = compressed else {
        return Some(Response::new(whole(configuration.encoded.clone())));
    };
    let mut response = Response::new(whole(compressed));
    let encoding = HeaderValue::from_static(ENCODING);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_ENCODING, encoding);
    Some(response)
}

fn compressed(configuration: &Configuration) -> Option<Bytes> {
    if let Some(compressed) = configuration.compressed.get() {
        return Some(compressed.clone());
    }
    match compress(&configuration.encoded) {
        Ok(compressed) => Some(configuration.compressed.get_or_init(|| compressed).clone()),
        Err(error) => {
            log::error!(error:% = error; "compressing the configuration failed");
            None
        }
    }
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
        crashes: MessageCrashes::default(),
        rates: Vec::new(),
        refusal_rates: Vec::new(),
        versions: MessageVersions::default(),
        ends: Vec::new(),
        processes: Vec::new(),
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
    let bytes = match address {
        SocketAddr::V4(address) => state.vm_bytes(ByteKind::Forwards, *address.ip()),
        SocketAddr::V6(_) => ByteCounter::default(),
    };
    let query = ConnectionQuery {
        address,
        idle_max: Duration::MAX,
        connect_timeout: CONNECT_TIMEOUT,
        request_id: None,
        bytes: &bytes,
    };
    let mut connection = pool.acquire(state.now(), query).await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT_ENCODING, ENCODING)
        .body(Full::default())
        .expect("the paths are constants");
    let (parts, body) = connection.send(request).await?.into_parts();
    let body = Limited::new(body, BODY_MAX_BYTES).collect().await;
    let body = body.map_err(UpstreamError::PeerBody)?.to_bytes();
    pool.release(state.now(), connection);
    if !parts.status.is_success() {
        return Err(UpstreamError::PeerStatus(parts.status.as_u16()));
    }
    if !parts.headers.contains_key(header::CONTENT_ENCODING) {
        return Ok(body);
    }
    decompress(&body, BODY_MAX_BYTES).map_err(|error| UpstreamError::PeerBody(error.into()))
}
