//! Validates a request, reads its body and charges its account.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::header;
use http::uri::PathAndQuery;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::attempts::Attempts;
use super::client_connection::ClientConnection;
use super::client_request::ClientRequest;
use super::forward_headers::ForwardHeaders;
use super::served_request::ServedRequest;
use super::EdgeBody;
use super::Refusal;
use super::RefusalKind;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::AccountPolicy;
use crate::deployment::Deployment;
use crate::deployment::ServedRoute;
use crate::entry::BodyPermit;
use crate::entry::EntryState;
use crate::platform::RequestHead;
use crate::quarantine::PartHash;
use crate::quarantine::RequestIdentity;

/// The maximum age of the configuration for answering that a key or a path does not exist.
const NOT_FOUND_AGE_MAX: Duration = Duration::from_millis(2_000);

/// The `Retry-After` of a VM without a current configuration: time for two rounds of gossip, or for
/// the client to try another VM.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(600);

/// The `Retry-After` of a VM whose memory for bodies is used up.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The `Retry-After` of a VM that stops: time for the client to connect to another VM.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How much of a body over the limit is read and discarded, as a multiple of the limit. Closing a
/// connection with unread bytes resets it, and the client would not see its answer.
const DISCARD_FACTOR: usize = 2;

/// The timeout of a request without a timeout header.
const TIMEOUT_DEFAULT: Duration = Duration::from_secs(60);

/// Serves a request of a client, or one forwarded by another VM.
pub(super) async fn serve(
    state: Rc<EntryState>,
    client: ClientConnection,
    request: Request<Incoming>,
    forwarded: Option<ForwardHeaders>,
) -> Response<EdgeBody> {
    let served = ServedRequest::new(&state);
    let received_at = state.now();
    let head = RequestHead::decode(request.headers());
    let accepted = match accept(&state, &request, &head, received_at) {
        Ok(accepted) => accepted,
        Err(refusal) => return refuse(&state, &head, refusal),
    };
    let time_left = accepted.deadline.since(received_at);
    let (parts, body) = request.into_parts();
    let body_max_bytes = accepted.deployment.limits().body_max_bytes;
    let mut permit = state.memory.permit();
    let read = timeout(time_left, read_body(body, body_max_bytes, &mut permit)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(refusal)) => return refuse(&state, &head, refusal),
        Err(_) => return refuse(&state, &head, Refusal::new(RefusalKind::TooLate)),
    };
    // A stream goes on at the service that began it.
    let first_attempt = head.resumes.as_deref().unwrap_or(&head.request_id);
    let service_key = accepted
        .route
        .service_for(xxh3_64(first_attempt.as_bytes()));
    let service = service_key.and_then(|key| {
        let service = accepted.deployment.service(key)?;
        let account = accepted.account.as_ref();
        let rank = accepted.deployment.rank(key, account, &accepted.route);
        Some((service.clone(), rank))
    });
    let Some((service, rank)) = service else {
        return refuse(&state, &head, Refusal::new(RefusalKind::NoEndpoint));
    };
    let account_name = accepted.account.as_ref().map(|account| &account.name);
    let fingerprint = PartHash::from(RequestIdentity {
        method: parts.method.as_str(),
        host: &accepted.host,
        path: parts.uri.path_and_query().map_or("", PathAndQuery::as_str),
        account: account_name.map(Name::as_str),
        body: &body,
    });
    let request = ClientRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        head,
        fingerprint,
        host: accepted.host,
        configuration_version: accepted.deployment.version(),
        route: accepted.route,
        service,
        account: accepted.account,
        rank,
        deadline: accepted.deadline,
        forwarded,
        client,
        _permit: permit,
        _served: served,
    };
    serve_accepted(state, request).await
}

async fn serve_accepted(state: Rc<EntryState>, request: ClientRequest) -> Response<EdgeBody> {
    let now = state.now();
    if request.forwarded.is_none() {
        if let Err(refusal) = charge(&state, now, &request) {
            return refuse(&state, &request.head, refusal);
        }
        state.on_request(now, &request.service.name);
    }
    let request = Rc::new(request);
    let attempts = Attempts::new(Rc::clone(&state), Rc::clone(&request));
    let mut ending = state.ending.subscribe();
    let outcome = tokio::select! {
        outcome = attempts.run() => outcome,
        _ = ending.wait_for(|is_ending| *is_ending) => Err(Refusal::new(RefusalKind::Failed)),
    };
    if request.is_take_up() && request.forwarded.is_none() {
        record_take_up(&state, now, &request, &outcome);
    }
    match outcome {
        Ok(response) => response,
        Err(refusal) => {
            if refusal.kind.is_not_run() && request.forwarded.is_none() {
                refund(&state, &request);
            }
            refuse(&state, &request.head, refusal)
        }
    }
}

/// Records how the take-up of a stream ended, which arrived at `received_at`.
fn record_take_up(
    state: &EntryState,
    received_at: Monotonic,
    request: &ClientRequest,
    outcome: &Result<Response<EdgeBody>, Refusal>,
) {
    let outcome = match outcome {
        Ok(response) if response.status().is_success() => "resumed",
        Ok(_) => RefusalKind::Failed.as_str(),
        Err(refusal) => refusal.kind.as_str(),
    };
    state.metrics.on_take_up(outcome);
    log::info!(
        request = &*request.head.request_id,
        resumes = request.head.resumes.as_deref().unwrap_or_default(),
        after_event = request.head.last_event_id.unwrap_or_default(),
        outcome,
        duration_ms = state.now().since(received_at).as_millis() as u64;
        "stream taken up"
    );
}

fn refuse(state: &EntryState, head: &RequestHead, refusal: Refusal) -> Response<EdgeBody> {
    let age = state.belief.borrow().configuration_age(state.now());
    state.metrics.on_refusal(refusal.kind.as_str());
    log::info!(
        request = &*head.request_id,
        reason = refusal.kind.as_str(),
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
        configuration_age_ms = age.map_or(u64::MAX, |age| age.as_millis() as u64);
        "refused"
    );
    refusal.response()
}

/// The route, account and deadline of a request that passed the checks of its head.
struct Accepted {
    host: String,
    deployment: Rc<Deployment>,
    route: ServedRoute,
    account: Option<AccountPolicy>,
    deadline: Monotonic,
}

fn accept(
    state: &EntryState,
    request: &Request<Incoming>,
    head: &RequestHead,
    now: Monotonic,
) -> Result<Accepted, Refusal> {
    let not_ready = Refusal::retry_after(RefusalKind::NotReady, NOT_READY_RETRY_AFTER);
    let belief = state.belief.borrow();
    let age = belief.configuration_age(now);
    let (Some(deployment), Some(age)) = (belief.deployment(), age) else {
        return Err(not_ready);
    };
    let not_found = |kind| {
        if age > NOT_FOUND_AGE_MAX {
            not_ready
        } else {
            Refusal::new(kind)
        }
    };
    let host = request_host(request).ok_or(Refusal::new(RefusalKind::Malformed))?;
    let (_, route) = deployment
        .route_for(&host, request.uri().path())
        .ok_or_else(|| not_found(RefusalKind::UnknownRoute))?;
    let needs_key = deployment.has_accounts() && !route.is_public;
    if age > state.settings.bounds.configuration_age_max(needs_key) {
        return Err(not_ready);
    }
    let mut account = None;
    if needs_key {
        let key = head.api_key.as_deref();
        account = key
            .and_then(|key| deployment.account_for(key))
            .and_then(|key| deployment.account(key))
            .cloned();
        if account.is_none() {
            return Err(not_found(RefusalKind::InvalidKey));
        }
    }
    let client_timeout = head.timeout.unwrap_or(TIMEOUT_DEFAULT);
    let deadline = now + client_timeout.min(route.timeout);
    if state
        .ends_at
        .get()
        .is_some_and(|ends_at| deadline > ends_at)
    {
        let kind = RefusalKind::Leaving;
        return Err(Refusal::retry_after(kind, LEAVING_RETRY_AFTER));
    }
    Ok(Accepted {
        host,
        deployment: Rc::clone(deployment),
        route: route.clone(),
        account,
        deadline,
    })
}

fn request_host(request: &Request<Incoming>) -> Option<String> {
    let mut hosts = request.headers().get_all(header::HOST).iter();
    let host = hosts.next()?.to_str().ok()?;
    if hosts.next().is_some() {
        return None;
    }
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    Some(name.to_ascii_lowercase())
}

async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    permit: &mut BodyPermit,
) -> Result<Bytes, Refusal> {
    let mut whole = BytesMut::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Refusal::new(RefusalKind::Malformed))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        length += data.len();
        if length > max_bytes.saturating_mul(DISCARD_FACTOR) {
            break;
        }
        if length > max_bytes {
            continue;
        }
        if !permit.try_extend(data.len()) {
            let kind = RefusalKind::Overloaded;
            return Err(Refusal::retry_after(kind, OVERLOADED_RETRY_AFTER));
        }
        whole.extend_from_slice(&data);
    }
    if length > max_bytes {
        return Err(Refusal::new(RefusalKind::BodyTooLarge));
    }
    Ok(whole.freeze())
}

fn charge(state: &EntryState, now: Monotonic, request: &ClientRequest) -> Result<(), Refusal> {
    let Some(account) = &request.account else {
        return Ok(());
    };
    let taken = state
        .quota
        .borrow_mut()
        .try_take(now, account, units(account, request));
    taken.map_err(|over| {
        log::info!(
            request = &*request.head.request_id,
            account = account.name.as_str(),
            units = units(account, request),
            balance = over.balance;
            "rate limit exceeded"
        );
        Refusal::retry_after(RefusalKind::RateLimited, over.retry_after)
    })
}

fn refund(state: &EntryState, request: &ClientRequest) {
    if let Some(account) = &request.account {
        let units = units(account, request);
        state.quota.borrow_mut().refund(account, units);
    }
}

fn units(account: &AccountPolicy, request: &ClientRequest) -> u64 {
    if account.is_counted_in_tokens {
        request.head.tokens.unwrap_or(account.undeclared_tokens)
    } else {
        1
    }
}
