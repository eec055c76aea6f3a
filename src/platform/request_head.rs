//! Decodes the head of a client's request and rewrites its headers for an endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::catalog::Name;
use crate::placement::PromptPart;
use crate::placement::PromptPrefix;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const TIMEOUT_MS: HeaderName = HeaderName::from_static("timeout-ms");
const TOKEN_COUNT: HeaderName = HeaderName::from_static("token-count");
const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const TENANT: HeaderName = HeaderName::from_static("tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const REQUEST_PRIORITY: HeaderName = HeaderName::from_static("request-priority");

/// Headers that only the gateway may send to an endpoint.
const GATEWAY_HEADERS: [&str; 10] = [
    "tenant",
    "expect-instance",
    "expect-version",
    "request-priority",
    "pin-ms",
    "hold",
    "kv-backup",
    "kv-from",
    "kv-fetch",
    "timeout-ms",
];

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

const BEARER: &str = "Bearer ";

/// The fields that the gateway reads from the head of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The identifier of this attempt of the client.
    pub request_id: Box<str>,
    /// The time for which the client waits for the answer.
    pub timeout: Option<Duration>,
    /// The API key.
    pub api_key: Option<Box<str>>,
    /// The sum of the prompt tokens and the longest answer in tokens.
    pub tokens: Option<u64>,
    /// Prompt tokens; zero if the client declared none.
    pub prompt_tokens: u64,
    /// The parts of the prompt that other requests share: all but the last one, or that one without
    /// tokens if it is the only one.
    pub prefix: PromptPrefix,
    /// The last event of an earlier answer that the client received.
    pub last_event_id: Option<u64>,
    /// Whether the client has events of an earlier answer.
    pub is_take_up: bool,
    /// The identifier of the attempt that brought the first of them.
    pub resumes: Option<Box<str>>,
}

impl RequestHead {
    /// Decodes the headers of a request.
    pub fn decode(headers: &HeaderMap) -> Self {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let counts = text(&TOKEN_COUNT).and_then(parse_token_count);
        let parts = text(&PREFIX_HASH).unwrap_or_default();
        Self {
            request_id: text(&REQUEST_ID).unwrap_or_default().into(),
            timeout: text(&TIMEOUT_MS)
                .and_then(|value| value.trim().parse().ok())
                .map(Duration::from_millis),
            api_key: single_value(headers, &header::AUTHORIZATION)
                .and_then(|value| value.strip_prefix(BEARER))
                .map(|key| key.trim().into()),
            tokens: counts.map(|(prompt, answer)| prompt.saturating_add(answer)),
            prompt_tokens: counts.map_or(0, |(prompt, _)| prompt),
            prefix: parse_prefix(parts),
            last_event_id: text(&LAST_EVENT_ID).and_then(|value| value.trim().parse().ok()),
            is_take_up: headers.contains_key(LAST_EVENT_ID) || headers.contains_key(RESUMES),
            resumes: single_value(headers, &RESUMES).map(|value| value.trim().into()),
        }
    }
}

impl RequestHead {
    /// Sets the remaining time and removes hop-by-hop headers, to forward a request to another VM.
    pub fn set_time_left(headers: &mut HeaderMap, time_left: Duration) {
        let time_left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        headers.insert(TIMEOUT_MS, HeaderValue::from(time_left_ms));
        for name in HOP_BY_HOP_HEADERS {
            headers.remove(name);
        }
    }
}

/// Returns the value of a header; `None` if it occurs more than once.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?;
    values.next().is_none().then_some(value)
}

fn parse_token_count(value: &str) -> Option<(u64, u64)> {
    let (prompt, answer) = value.split_once(',')?;
    Some((prompt.trim().parse().ok()?, answer.trim().parse().ok()?))
}

fn parse_prefix(parts: &str) -> PromptPrefix {
    match parts.rsplit_once(',') {
        Some((shared, _)) => PromptPrefix::new(shared.split(',').map(parse_part).collect()),
        None if parts.is_empty() => PromptPrefix::default(),
        None => PromptPrefix::new(vec![PromptPart {
            tokens: 0,
            ..parse_part(parts)
        }]),
    }
}

fn parse_part(part: &str) -> PromptPart {
    let (id, tokens) = part.rsplit_once(':').unwrap_or((part, ""));
    PromptPart {
        hash: xxh3_64(id.trim().as_bytes()),
        tokens: tokens.trim().parse().unwrap_or(0),
    }
}

/// The headers that the gateway adds to a request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointHeaders<'a> {
    /// The instance that the request is for; any other one refuses it.
    pub instance: &'a str,
    /// The client account.
    pub account: Option<&'a Name>,
    /// The time that is left for the answer.
    pub time_left: Duration,
    /// The endpoint whose cache the prompt prefix may be copied from.
    pub copy_prefix_from: Option<SocketAddr>,
    /// The scheduling priority at a model engine, 0 first; `None` for services without priorities.
    pub priority: Option<u8>,
}

/// Removes the headers of a client's request that are not passed to endpoints.
fn remove_unforwarded(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in GATEWAY_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Replaces the headers of a client's request by those of a request to an endpoint.
pub fn set_endpoint_headers(headers: &mut HeaderMap, fields: &EndpointHeaders<'_>) {
    remove_unforwarded(headers);
    if let Ok(value) = HeaderValue::from_str(fields.instance) {
        headers.insert(EXPECT_INSTANCE, value);
    }
    if let Some(value) = fields
        .account
        .and_then(|account| HeaderValue::from_str(account.as_str()).ok())
    {
        headers.insert(TENANT, value);
    }
    let time_left_ms = u64::try_from(fields.time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(TIMEOUT_MS, HeaderValue::from(time_left_ms));
    if let Some(value) = fields
        .copy_prefix_from
        .and_then(|address| HeaderValue::from_str(&address.to_string()).ok())
    {
        headers.insert(KV_FETCH, value);
    }
    if let Some(priority) = fields.priority {
        headers.insert(REQUEST_PRIORITY, HeaderValue::from(u64::from(priority)));
    }
}

/// Sets the event of a stream after which the endpoint resumes it.
pub fn set_resume_position(headers: &mut HeaderMap, last_event_id: u64) {
    headers.insert(LAST_EVENT_ID, HeaderValue::from(last_event_id));
}
