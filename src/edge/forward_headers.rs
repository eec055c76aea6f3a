//! The headers of a request that a VM forwards to another one.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use crate::deployment::SoftwareVersion;

/// The maximum number of endpoints at which the receiving VM may run the request.
const ATTEMPTS: HeaderName = HeaderName::from_static("figramp-attempts");

/// Marks an answer to a request that did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("figramp-not-run");

/// The software version of the endpoint that began a stream, as a hexadecimal hash: in a request the one
/// that must run it, in an answer the one that ran it.
const VERSION: HeaderName = HeaderName::from_static("figramp-version");

/// The status that the endpoint gave, where an answer without it may be one of a VM that replaced it.
const ENDPOINT_STATUS: HeaderName = HeaderName::from_static("figramp-endpoint-status");

/// The value of that mark for a quarantined request.
const QUARANTINED: &str = "quarantined";

/// The value of that mark for a request that reached no endpoint.
const UNSENT: &str = "unsent";

/// The headers of a request forwarded by another VM; it is not forwarded again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ForwardHeaders {
    /// The maximum number of endpoints that may run the request.
    pub(super) attempts_max: u32,
    /// The software version that must run it; `None` for any.
    pub(super) version: Option<SoftwareVersion>,
}

impl ForwardHeaders {
    pub(super) fn decode(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(ATTEMPTS)?.to_str().ok()?;
        let attempts_max = value.parse().ok()?;
        Some(Self {
            attempts_max,
            version: version(headers),
        })
    }

    pub(super) fn encode(self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPTS, HeaderValue::from(self.attempts_max));
        set_version(headers, self.version);
    }
}

/// Removes the headers that only VMs may set and see.
pub(super) fn strip(headers: &mut HeaderMap) {
    headers.remove(ATTEMPTS);
    headers.remove(NOT_RUN);
    headers.remove(VERSION);
    headers.remove(ENDPOINT_STATUS);
}

/// Returns the software version that ran, or must run, a request; `None` if it is not known.
pub(super) fn version(headers: &HeaderMap) -> Option<SoftwareVersion> {
    let value = headers.get(VERSION)?.to_str().ok()?;
    SoftwareVersion::from_hash(u64::from_str_radix(value, 16).ok()?)
}

/// Sets or removes the software version that ran, or must run, a request.
pub(super) fn set_version(headers: &mut HeaderMap, version: Option<SoftwareVersion>) {
    headers.remove(VERSION);
    if let Some(value) = version.and_then(|version| version.to_string().parse().ok()) {
        headers.insert(VERSION, value);
    }
}

pub(super) fn mark_not_run(headers: &mut HeaderMap, is_quarantined: bool) {
    let value = if is_quarantined { QUARANTINED } else { "1" };
    headers.insert(NOT_RUN, HeaderValue::from_static(value));
}

/// Marks an answer to a request that reached no endpoint.
pub(super) fn mark_unsent(headers: &mut HeaderMap) {
    headers.insert(NOT_RUN, HeaderValue::from_static(UNSENT));
}

/// Returns whether the request reached no endpoint.
pub(super) fn is_unsent(headers: &HeaderMap) -> bool {
    headers.get(NOT_RUN) == Some(&HeaderValue::from_static(UNSENT))
}

/// Returns whether the request did not run because it is quarantined, so that no endpoint may
/// get it.
pub(super) fn is_quarantined(headers: &HeaderMap) -> bool {
    headers.get(NOT_RUN) == Some(&HeaderValue::from_static(QUARANTINED))
}

pub(super) fn is_not_run(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN)
}

/// Returns the status that the endpoint gave; `None` if the VM that passed the answer on does not name it.
pub(super) fn endpoint_status(headers: &HeaderMap) -> Option<StatusCode> {
    StatusCode::from_bytes(headers.get(ENDPOINT_STATUS)?.as_bytes()).ok()
}

/// Names the status that the endpoint gave.
///
/// Only 502 is named: VMs of earlier builds pass the header on to clients.
pub(super) fn set_endpoint_status(headers: &mut HeaderMap, status: StatusCode) {
    headers.remove(ENDPOINT_STATUS);
    if status == StatusCode::BAD_GATEWAY {
        headers.insert(ENDPOINT_STATUS, HeaderValue::from(status.as_u16()));
    }
}
