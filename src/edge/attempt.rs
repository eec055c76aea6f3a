//! One attempt at an endpoint or at a VM of another region.

use std::fmt;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::client_request::ClientRequest;
use super::hop;
use super::running_request::RunningRequest;
use super::UpstreamError;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;
use crate::placement::Placement;
use crate::platform::AnswerHead;

/// The longest wait for a connection within a region: 1 ms one way, and a full queue of new
/// connections shows as silence.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest wait for a connection to another region: twice the way there and back.
const FAR_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// The idle time after which a connection is not used for requests that must not be repeated: an
/// endpoint may be about to close it.
const FRESH_IDLE_MAX: Duration = Duration::from_millis(1_500);

/// The longest wait for the rest of a refusal; without it the connection is closed.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(super) enum Target {
    /// An endpoint of the own region.
    Endpoint {
        placement: Placement,
        address: SocketAddr,
        instance: Name,
        copy_prompt_from: Option<SocketAddr>,
    },
    /// A VM of another region.
    Vm { ip: Ipv4Addr, attempts_max: u32 },
}

impl Target {
    /// Returns the expected time to the first event, or zero where it is not known.
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
            Self::Endpoint { instance, .. } => write!(f, "endpoint {instance}"),
            Self::Vm { ip, .. } => write!(f, "vm {ip}"),
        }
    }
}

/// The start of an answer.
pub(super) struct Answer {
    pub(super) parts: Parts,
    pub(super) body: Incoming,
    pub(super) running: RunningRequest,
}

/// Why an attempt gave no answer.
#[derive(Debug)]
pub(super) enum AttemptError {
    /// Nothing ran; a request may have arrived or not.
    NotRun {
        has_arrived: bool,
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    MayHaveRun(UpstreamError),
}

/// Sends a request and waits for the head of its answer.
pub(super) async fn send(
    state: &Rc<EntryState>,
    request: &ClientRequest,
    target: &Target,
    resume_after: Option<u64>,
    patience: Duration,
) -> Result<Answer, AttemptError> {
    let mut running = connect(state, request, target).await?;
    let sent_at = state.now();
    let message = match target {
        Target::Endpoint {
            instance,
            copy_prompt_from,
            ..
        } => request.to_endpoint(sent_at, instance, *copy_prompt_from, resume_after),
        Target::Vm { attempts_max, .. } => request.to_vm(sent_at, *attempts_max, resume_after),
    };
    let response = match timeout(patience, running.lease_mut().send(message)).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return Err(on_broken(running, error)),
        Err(_) => return Err(on_broken(running, UpstreamError::Timeout(patience))),
    };
    let (parts, body) = response.into_parts();
    let answer = Answer {
        parts,
        body,
        running,
    };
    check_head(state, request, sent_at, answer).await
}

async fn connect(
    state: &Rc<EntryState>,
    request: &ClientRequest,
    target: &Target,
) -> Result<RunningRequest, AttemptError> {
    let idle_max = match request.route.repetition.is_repeatable() {
        true => Duration::MAX,
        false => FRESH_IDLE_MAX,
    };
    let (address, connect_timeout, placement) = match target {
        Target::Endpoint {
            placement, address, ..
        } => (*address, CONNECT_TIMEOUT, Some(*placement)),
        Target::Vm { ip, .. } => (state.peer_address(*ip), FAR_CONNECT_TIMEOUT, None),
    };
    let mut running = RunningRequest::new(Rc::clone(state), placement);
    let now = state.now();
    let connected = state
        .connection_pool
        .connection(now, address, idle_max, connect_timeout)
        .await;
    match connected {
        Ok(lease) => {
            running.attach(lease);
            Ok(running)
        }
        Err(error) => {
            log::info!(
                request = &*request.head.request_id,
                to:% = address,
                error:% = error;
                "not reached"
            );
            running.note(AttemptOutcome::Unreachable);
            if let Target::Vm { ip, .. } = target {
                state.fleet.borrow_mut().on_unreachable(*ip);
            }
            Err(AttemptError::NotRun {
                has_arrived: false,
                retry_after: None,
            })
        }
    }
}

fn on_broken(mut running: RunningRequest, error: UpstreamError) -> AttemptError {
    if error.is_not_sent() {
        // An idle connection that the other end closed says nothing about the endpoint.
        return AttemptError::NotRun {
            has_arrived: false,
            retry_after: None,
        };
    }
    running.discard_idle();
    running.note(AttemptOutcome::Unreachable);
    AttemptError::MayHaveRun(error)
}

async fn check_head(
    state: &EntryState,
    request: &ClientRequest,
    sent_at: Monotonic,
    mut answer: Answer,
) -> Result<Answer, AttemptError> {
    let now = state.now();
    let head = AnswerHead::decode(&answer.parts);
    if let Some(keep_alive) = head.keep_alive {
        answer.running.lease_mut().on_keep_alive(keep_alive);
    }
    if let Some(placement) = answer.running.placement() {
        let mut endpoints = state.endpoints.borrow_mut();
        if let Some((running, waiting)) = head.load {
            endpoints.on_load(now, placement.endpoint, running, waiting);
        }
        if let Some(remaining) = head.cold_remaining {
            endpoints.on_cold(now, placement.endpoint, remaining);
        }
        if head.is_other_instance {
            endpoints.on_replaced(placement.endpoint);
        }
    }
    if head.is_not_executed || hop::is_not_run(&answer.parts.headers) {
        return Err(on_refused(answer).await);
    }
    let is_success = answer.parts.status.is_success();
    let is_own = head.request_id.as_deref() == Some(&*request.head.request_id);
    if head.is_encoded || (is_success && !(head.is_signed && is_own)) {
        answer.running.note(AttemptOutcome::Failed);
        return Err(AttemptError::MayHaveRun(UpstreamError::Unverified));
    }
    answer
        .running
        .note(if answer.parts.status.is_server_error() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered {
                latency: now.since(sent_at),
            }
        });
    Ok(answer)
}

async fn on_refused(mut answer: Answer) -> AttemptError {
    let retry_after = answer
        .parts
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse::<f64>().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    answer.running.note(AttemptOutcome::Refused);
    let rest = timeout(REFUSAL_BODY_TIMEOUT, answer.body.collect()).await;
    if matches!(rest, Ok(Ok(_))) {
        answer.running.finish();
    }
    AttemptError::NotRun {
        has_arrived: true,
        retry_after,
    }
}
