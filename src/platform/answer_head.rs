//! The head of an endpoint's answer.

use std::time::Duration;

use http::header;
use http::response::Parts;
use http::HeaderMap;
use http::HeaderName;
use http::StatusCode;

const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
const SIGNATURE: HeaderName = HeaderName::from_static("server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const LOAD: HeaderName = HeaderName::from_static("server-load");
const COLD_MS: HeaderName = HeaderName::from_static("cold-ms");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The largest rate that counts as one, in requests per second; no endpoint takes more.
const RATE_MAX_PER_S: f64 = 1_000_000.0;

/// What an answer says about a rate that its endpoint bears from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateNotice {
    /// It names none.
    #[default]
    Unlimited,
    /// It names these requests per second.
    PerS(f64),
    /// It names a value that is no rate.
    Invalid,
}

/// The fields that the gateway reads from the head of an endpoint's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_executed: bool,
    /// Whether the address belongs to another instance than the expected one.
    pub is_other_instance: bool,
    /// Whether the answer carries the endpoint's signature header.
    pub is_signed: bool,
    /// Whether the answer has a content encoding, which no endpoint uses.
    pub is_encoded: bool,
    /// The identifier of the request that the answer is for.
    pub request_id: Option<Box<str>>,
    /// The numbers of running and waiting requests at the endpoint.
    pub load: Option<(u32, u32)>,
    /// The time until the endpoint is no longer cold.
    pub cold_remaining: Option<Duration>,
    /// The time after which the endpoint closes an idle connection.
    pub keep_alive: Option<Duration>,
    /// The rate that the endpoint names.
    pub rate: RateNotice,
    /// The refusals for want of room that the endpoint bears, as a rate.
    pub refusals: RateNotice,
    /// Whether the endpoint reports that it is about to stop.
    pub is_leaving: bool,
    /// How long the endpoint wants no further requests of this VM; only with a refusal.
    pub retry_after: Option<Duration>,
    /// Whether the endpoint closes the connection after the answer.
    pub is_closing: bool,
}

impl AnswerHead {
    /// Decodes the head of an answer.
    pub fn decode(parts: &Parts) -> Self {
        let headers = &parts.headers;
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let is_other_instance = parts.status == StatusCode::MISDIRECTED_REQUEST;
        Self {
            is_not_executed: is_other_instance || is_not_executed(headers),
            is_other_instance,
            is_signed: headers.contains_key(SIGNATURE),
            is_encoded: headers.contains_key(header::CONTENT_ENCODING),
            request_id: text(&REQUEST_ID).map(Into::into),
            load: text(&LOAD).and_then(parse_load),
            cold_remaining: text(&COLD_MS)
                .and_then(|value| value.trim().parse::<f64>().ok())
                .and_then(|value| Duration::try_from_secs_f64(value / 1_000.0).ok()),
            keep_alive: text(&KEEP_ALIVE).and_then(parse_keep_alive),
            rate: decode_rate(headers, &LIMIT),
            refusals: decode_rate(headers, &BRITTLE),
            is_leaving: text(&LEAVING).is_some_and(|value| value.trim() == "1"),
            retry_after: Some(parts.status)
                .filter(|status| *status == StatusCode::SERVICE_UNAVAILABLE)
                .and_then(|_| text(&header::RETRY_AFTER))
                .and_then(parse_retry_after),
            is_closing: text(&header::CONNECTION)
                .is_some_and(|value| value.to_ascii_lowercase().contains("close")),
        }
    }
}

/// Returns whether the headers of an answer report that the request did not run.
pub fn is_not_executed(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_EXECUTED)
}

fn parse_load(value: &str) -> Option<(u32, u32)> {
    let mut numbers = value.split(',');
    let running = numbers.next()?.trim().parse().ok()?;
    let waiting = numbers.next()?.trim().parse().ok()?;
    Some((running, waiting))
}

/// Parses a number of seconds. A date cannot be compared to the clock of the endpoint and counts as
/// absent, as does a negative or unreadable value.
fn parse_retry_after(value: &str) -> Option<Duration> {
    let seconds = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn decode_rate(headers: &HeaderMap, name: &HeaderName) -> RateNotice {
    match headers.get(name) {
        None => RateNotice::Unlimited,
        Some(value) => value.to_str().map_or(RateNotice::Invalid, parse_rate),
    }
}

fn parse_rate(value: &str) -> RateNotice {
    let rate_per_s = value.trim().parse::<f64>();
    let rate_per_s = rate_per_s
        .ok()
        .filter(|rate| (0.0..=RATE_MAX_PER_S).contains(rate));
    rate_per_s.map_or(RateNotice::Invalid, RateNotice::PerS)
}

fn parse_keep_alive(value: &str) -> Option<Duration> {
    let timeout = value
        .split(',')
        .filter_map(|part| part.trim().strip_prefix("timeout="))
        .next()?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
