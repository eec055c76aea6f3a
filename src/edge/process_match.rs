//! Finds out whether a connection leads to the process of an endpoint's record, whose software version is known.

use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use tokio::time::timeout;

use super::attempt::Target;
use super::pooled_connection::PooledConnection;
use super::running_request::RunningRequest;
use super::UpstreamError;
use crate::deployment::InstanceId;
use crate::deployment::SoftwareVersion;
use crate::entry::EntryState;
use crate::placement::Placement;
use crate::platform::decode_report;
use crate::platform::probe_request;
use crate::platform::AnswerHead;

/// The longest wait for a report of an endpoint whose version is not certain.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest wait for a report without which the request is sent too: a sound endpoint may be silent for about
/// as long, and would not answer the request any sooner.
pub(super) const OPTIONAL_REPORT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The longest report that is read.
const REPORT_MAX_BYTES: usize = 64 * 1024;

/// What is known of the process that a connection leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessMatch {
    /// It is the one of the endpoint's record.
    Same,
    /// It is another one.
    Other,
    /// It didn't say when it started.
    Unknown,
    /// It gave no whole answer, so that the connection can't be used.
    Unanswered,
}

/// Returns whether the connection of a request leads to the process of an instance; unless that is known, asks
/// the endpoint for its report over this connection.
pub(super) async fn match_process(
    state: &EntryState,
    placement: &Placement,
    instance: &InstanceId,
    running: &mut RunningRequest,
    report_timeout: Duration,
) -> ProcessMatch {
    let connection = running.connection_mut();
    let matched = known_match(state, placement, instance, connection);
    if matched == ProcessMatch::Unknown && instance.has_start() {
        if let Err(error) = ask(state, placement, connection, report_timeout).await {
            log::info!(
                address:% = connection.address,
                error:% = error;
                "an endpoint gave no report"
            );
            if matches!(error, UpstreamError::NotSent) || error.is_broken_off() {
                running.record_lost();
            }
            return ProcessMatch::Unanswered;
        }
    }
    known_match(state, placement, instance, running.connection_mut())
}

/// Returns whether a connection leads to the process of an instance, by what has been reported.
fn known_match(
    state: &EntryState,
    placement: &Placement,
    instance: &InstanceId,
    connection: &mut PooledConnection,
) -> ProcessMatch {
    if !instance.has_start() {
        return ProcessMatch::Unknown;
    }
    if connection.process_started_unix_ms.is_none() {
        let endpoints = state.endpoints.borrow();
        let is_reached = endpoints.is_reached_by(placement.endpoint, connection.opened_at);
        connection.process_started_unix_ms = is_reached.then_some(instance.started_unix_ms);
    }
    match connection.process_started_unix_ms {
        Some(started) if started == instance.started_unix_ms => ProcessMatch::Same,
        Some(_) => ProcessMatch::Other,
        None => ProcessMatch::Unknown,
    }
}

/// Returns the software version of the endpoint that a request was sent to; `None` if it is not known.
pub(super) fn endpoint_version(
    state: &EntryState,
    target: &Target,
    running: &mut RunningRequest,
) -> Option<SoftwareVersion> {
    let Target::Endpoint {
        placement,
        instance,
        version,
        ..
    } = target
    else {
        return None;
    };
    match known_match(state, placement, instance, running.connection_mut()) {
        ProcessMatch::Same => {
            let endpoints = state.endpoints.borrow();
            let endpoint = endpoints.get_instance(instance);
            let recorded = endpoint.and_then(|endpoint| endpoint.record().version);
            recorded.or(*version)
        }
        ProcessMatch::Other => None,
        ProcessMatch::Unknown | ProcessMatch::Unanswered => *version,
    }
}

/// Asks an endpoint for its report, and records what it says.
async fn ask(
    state: &EntryState,
    placement: &Placement,
    connection: &mut PooledConnection,
    report_timeout: Duration,
) -> Result<(), UpstreamError> {
    let asked_at = state.now();
    let reported = match timeout(report_timeout, read_report(connection)).await {
        Ok(reported) => reported,
        Err(_) => Err(UpstreamError::Timeout(report_timeout)),
    };
    let started_unix_ms = reported.as_ref().ok().copied().flatten();
    connection.process_started_unix_ms = started_unix_ms;
    let mut endpoints = state.endpoints.borrow_mut();
    endpoints.on_report(placement.endpoint, asked_at, started_unix_ms);
    if reported.is_ok() {
        endpoints.on_answered_over(placement.endpoint, connection.opened_at, asked_at);
        state.reach.borrow_mut().on_sign_of_life();
    }
    reported.map(|_| ())
}

/// Returns when the process that a connection leads to reports to have started; `None` if it doesn't say.
///
/// # Errors
///
/// Returns an error if the connection can't be used for another request.
async fn read_report(connection: &mut PooledConnection) -> Result<Option<u64>, UpstreamError> {
    let request = probe_request(connection.address).map(|()| Full::<Bytes>::default());
    let (parts, body) = connection.send(request).await?.into_parts();
    let head = AnswerHead::decode(&parts);
    if head.request_id.is_some() {
        return Err(UpstreamError::Unverified);
    }
    let has_end = parts.headers.contains_key(header::CONTENT_LENGTH)
        || parts.headers.contains_key(header::TRANSFER_ENCODING);
    if head.is_closing || !has_end {
        connection.on_closing();
        return Err(UpstreamError::NotSent);
    }
    let body = Limited::new(body, REPORT_MAX_BYTES).collect().await;
    let body = body.map_err(|error| match error.downcast::<hyper::Error>() {
        Ok(error) => UpstreamError::Broken(*error),
        Err(_) => UpstreamError::TooLong(REPORT_MAX_BYTES),
    })?;
    let is_report = parts.status == StatusCode::OK;
    Ok(Some(body.to_bytes())
        .filter(|_| is_report)
        .and_then(|bytes| decode_report(&bytes)))
}
