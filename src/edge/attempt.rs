//! One attempt to send a request to an endpoint or to another VM.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::response::Parts;
use hyper::body::Incoming;

use super::answer_check::check_head;
use super::attempt_failure::on_failed;
use super::client_request::ClientRequest;
use super::connection_query::ConnectionQuery;
use super::continuation::Continuation;
use super::forward_headers;
use super::listing_confirmation::wait_for_listing;
use super::process_match::endpoint_version;
use super::process_match::match_process;
use super::process_match::ProcessMatch;
use super::process_match::OPTIONAL_REPORT_TIMEOUT;
use super::process_match::REPORT_TIMEOUT;
use super::running_request::RunningRequest;
use super::silence::wait_for;
use super::silence::SilenceLimits;
use super::AnswerSource;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::deployment::InstanceId;
use crate::deployment::SoftwareVersion;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;
use crate::placement::Placement;
use crate::telemetry::ByteKind;

/// The connect timeout within a region, where the one-way latency is 1 ms. A full accept queue
/// drops the SYN, so it shows as a timeout rather than as an error.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The connect timeout to another region: two round trips.
const REMOTE_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle time after which a connection is not reused for a request that must not be retried: the
/// endpoint may be about to close it.
const NON_RETRYABLE_IDLE_MAX: Duration = Duration::from_millis(1_500);

/// The destination of an attempt.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// An endpoint of the local region.
    Endpoint {
        placement: Placement,
        address: SocketAddr,
        instance: InstanceId,
        /// The version of its software; `None` if it is not known.
        version: Option<SoftwareVersion>,
        copy_prefix_from: Option<SocketAddr>,
    },
    /// Another VM.
    Vm { ip: Ipv4Addr, attempts_max: u32 },
}

impl Target {
    /// Returns the expected time to the first event, or zero for a VM, where it is not known.
    pub(super) fn expected_ms(&self) -> u64 {
        match self {
            Self::Endpoint { placement, .. } => placement.expected_ms as u64,
            Self::Vm { .. } => 0,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint { instance, .. } => write!(f, "endpoint {}", instance.id),
            Self::Vm { ip, .. } => write!(f, "vm {ip}"),
        }
    }
}

/// An answer whose head has arrived and whose body has not been read.
pub(super) struct Answer {
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    pub(super) running: RunningRequest,
    /// The software version of the endpoint that gave it; `None` if it is not known.
    pub(super) version: Option<SoftwareVersion>,
}

impl Answer {
    /// Returns where it came from.
    pub(super) fn source(&self) -> AnswerSource {
        match self.running.placement() {
            Some(_) => AnswerSource::Endpoint,
            None => AnswerSource::Vm {
                endpoint_status: forward_headers::endpoint_status(&self.parts.headers),
            },
        }
    }

    /// Returns whether the body has neither a length nor chunks, so that only the end of the
    /// connection ends it.
    pub(super) fn ends_with_connection(&self) -> bool {
        let headers = &self.parts.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// Why an attempt gave no answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// No connection to the target could be opened, or it was closed before the request was sent.
    Unreached { has_timed_out: bool },
    /// The request did not run; `has_arrived` says whether it reached the endpoint.
    NotRun {
        has_arrived: bool,
        retry_after: Option<Duration>,
    },
    /// The request did not run, and must not be sent on for this time, as it is quarantined.
    Quarantined(Duration),
    /// The request may have run.
    MayHaveRun(UpstreamError),
}

/// The error of an attempt of which nothing was sent.
const NOT_SENT: AttemptError = AttemptError::NotRun {
    has_arrived: false,
    retry_after: None,
};

/// An attempt whose answer has not begun after the silence timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SilentAttempt {
    pub(super) now: Monotonic,
    pub(super) is_connection_reused: bool,
}

/// Sends a request and waits for the head of its answer, or until `try_leave` returns true after a
/// silence.
pub(super) async fn send(
    state: &Rc<EntryState>,
    request: &Rc<ClientRequest>,
    target: &Target,
    continuation: Continuation,
    limits: SilenceLimits,
    mut try_leave: impl FnMut(SilentAttempt) -> bool,
) -> Result<Answer, AttemptError> {
    let mut running = connect_for(state, request, target, continuation).await?;
    let sent_at = state.now();
    let message = match target {
        Target::Endpoint {
            instance,
            copy_prefix_from,
            ..
        } => request.to_endpoint(
            sent_at,
            &instance.id,
            *copy_prefix_from,
            continuation.after_event,
        ),
        Target::Vm { attempts_max, .. } => request.to_vm(sent_at, *attempts_max, continuation),
    };
    if running.placement().is_some() {
        state.reach.borrow_mut().on_sent(sent_at);
    }
    let connection = running.connection_mut();
    let is_connection_reused = connection.is_reused;
    let try_leave = |now| {
        try_leave(SilentAttempt {
            now,
            is_connection_reused,
        })
    };
    let (clock, wanted) = (Rc::clone(state), Rc::clone(request));
    let is_wanted = move || wanted.is_wanted(clock.now());
    let sending = connection.send_if(message, is_wanted);
    let sent = wait_for(state, limits, sending, try_leave).await;
    let response = match sent.and_then(|response| response) {
        Ok(response) => response,
        Err(error) if error.is_silence() && running.connection_mut().stop_unwritten() => {
            let error = UpstreamError::NotSentInTime;
            return Err(on_failed(request, running, error));
        }
        Err(error) => return Err(on_failed(request, running, error)),
    };
    let (parts, body) = response.into_parts();
    let answer = Answer {
        version: match target {
            Target::Endpoint { .. } => endpoint_version(state, target, &mut running),
            Target::Vm { .. } => forward_headers::version(&parts.headers),
        },
        parts,
        body,
        running,
    };
    let mut answer = check_head(state, request, target, sent_at, answer).await?;
    if answer.parts.status.is_success()
        && !is_continued(state, target, continuation, &mut answer).await
    {
        return Err(AttemptError::MayHaveRun(UpstreamError::OtherVersion));
    }
    Ok(answer)
}

/// Returns whether an answer is certainly of the software version that began the stream, if it has
/// begun.
///
/// A connection that was opened since the listing was confirmed may lead to a process that the listing
/// doesn't contain yet, unless the process has reported its start. A VM of an earlier build ignores the
/// version that must run the request.
async fn is_continued(
    state: &EntryState,
    target: &Target,
    continuation: Continuation,
    answer: &mut Answer,
) -> bool {
    if continuation.version.is_none() {
        return true;
    }
    if let Target::Endpoint { instance, .. } = target {
        let connection = answer.running.connection_mut();
        if connection.process_started_unix_ms == Some(instance.started_unix_ms) {
            answer.version = continuation.version;
            return true;
        }
        let opened_at = connection.opened_at;
        if !wait_for_listing(state, opened_at).await {
            return false;
        }
        let endpoints = state.endpoints.borrow();
        let endpoint = endpoints.get_instance(instance);
        answer.version = endpoint.and_then(|endpoint| endpoint.record().version);
    }
    answer.version == continuation.version
}

/// Connects to a target; for a stream that has begun, only if the software version that began it is certain
/// there, or the listing can still tell.
async fn connect_for(
    state: &Rc<EntryState>,
    request: &ClientRequest,
    target: &Target,
    continuation: Continuation,
) -> Result<RunningRequest, AttemptError> {
    let mut running = connect(state, request, target).await?;
    let Target::Endpoint {
        placement,
        instance,
        version,
        ..
    } = target
    else {
        return Ok(running);
    };
    let connection = running.connection_mut();
    let is_listed = || {
        let confirmed_at = state.belief.borrow().listing_confirmed_at();
        version.is_some() && confirmed_at >= Some(connection.opened_at)
    };
    let is_reported = connection.process_started_unix_ms.is_some();
    if continuation.version.is_none() || (!is_reported && is_listed()) {
        return Ok(running);
    }
    let report_timeout = match version {
        Some(_) => OPTIONAL_REPORT_TIMEOUT.min(request.time_left(state.now()) / 2),
        None => REPORT_TIMEOUT,
    };
    let matched = match_process(state, placement, instance, &mut running, report_timeout);
    // Few requests get here, and all reserve the size of this future.
    match Box::pin(matched).await {
        ProcessMatch::Same => Ok(running),
        ProcessMatch::Unknown if version.is_some() => Ok(running),
        ProcessMatch::Unanswered if version.is_some() => {
            drop(running);
            connect(state, request, target).await
        }
        matched => {
            log::info!(
                request = &*request.head.request_id,
                to:% = target,
                matched:? = matched;
                "the request was not sent, as the endpoint may have another software version"
            );
            if matched != ProcessMatch::Unanswered {
                running.finish();
            }
            Err(NOT_SENT)
        }
    }
}

async fn connect(
    state: &Rc<EntryState>,
    request: &ClientRequest,
    target: &Target,
) -> Result<RunningRequest, AttemptError> {
    let idle_max = match request.route.retry_safety.is_retryable() {
        true => Duration::MAX,
        false => NON_RETRYABLE_IDLE_MAX,
    };
    let (address, connect_timeout, placement) = match target {
        Target::Endpoint {
            placement, address, ..
        } => (*address, CONNECT_TIMEOUT, Some(*placement)),
        Target::Vm { ip, .. } => (state.peer_address(*ip), REMOTE_CONNECT_TIMEOUT, None),
    };
    let bytes = match target {
        Target::Endpoint { placement, .. } => state.endpoint_bytes(placement.endpoint),
        Target::Vm { ip, .. } => state.vm_bytes(ByteKind::Forwards, *ip),
    };
    let mut running = RunningRequest::new(Rc::clone(state), placement);
    let now = state.now();
    let query = ConnectionQuery {
        address,
        idle_max,
        connect_timeout,
        request_id: Some(&request.head.request_id),
        bytes: &bytes,
    };
    let connected = state.connection_pool.acquire(now, query).await;
    match connected {
        Ok(connection) => {
            let is_new = !connection.is_reused;
            running.attach(connection);
            match is_new && running.may_have_restarted() {
                true => Err(on_restarted(request, target)),
                false => Ok(running),
            }
        }
        Err(error) => {
            log::info!(
                request = &*request.head.request_id,
                to:% = address,
                error:% = error;
                "connecting failed"
            );
            running.record_outcome(match error.is_connection_refused() {
                true => AttemptOutcome::ConnectionRefused,
                false => AttemptOutcome::Unreachable,
            });
            if error.is_connection_refused() {
                state.gossip_now.notify_one();
            }
            match target {
                Target::Vm { ip, .. } => state.fleet.borrow_mut().on_unreachable(*ip),
                Target::Endpoint { placement, .. } => {
                    state.reach.borrow_mut().on_failed(placement.endpoint);
                }
            }
            Err(AttemptError::Unreached {
                has_timed_out: matches!(error, UpstreamError::ConnectTimeout(_)),
            })
        }
    }
}

/// Gives up an attempt whose new connection may lead to another process than the one that was chosen.
fn on_restarted(request: &ClientRequest, target: &Target) -> AttemptError {
    log::info!(
        request = &*request.head.request_id,
        to:% = target;
        "the request was not sent, as the endpoint may have started again"
    );
    NOT_SENT
}
