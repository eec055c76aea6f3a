//! Resolution of a request to its client account and its route.

use std::time::Duration;

use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::Repeatability;
use crate::catalog::Route;
use crate::catalog::RouteKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::Call;
use crate::request::CallBody;
use crate::request::CallTarget;
use crate::request::IncomingCall;
use crate::request::Visited;

/// Resolves the key and the route of a call.
///
/// # Errors
///
/// Returns a refusal if the key is missing, unknown or revoked, if no route matches, if the
/// requested answer length exceeds the limit of the route, or if a non-idempotent call has no
/// idempotency key.
pub fn resolve(catalog: &Catalog, incoming: IncomingCall) -> Result<Call, GatewayError> {
    let route_key = find_route(catalog, &incoming.target)?;
    let route = &catalog.routes[route_key];
    let body = with_answer_limit(route, incoming.body);
    let client_account = find_client_account(catalog, route, incoming.key_digest)?;
    let repeatability = repeatability(route, &body);
    if repeatability == Repeatability::NonIdempotent && incoming.idempotency_key.is_none() {
        return Err(GatewayError::new(
            ErrorKind::MissingIdempotencyKey,
            "this call needs an Idempotency-Key header",
        ));
    }
    Ok(Call {
        id: incoming.id,
        key_digest: incoming.key_digest,
        client_account,
        route: route_key,
        repeatability,
        reserved_tokens: needed_tokens(route, &body)?,
        body,
        idempotency_key: incoming.idempotency_key,
        remaining: Duration::from_millis(route.deadline_ms),
        visited: Visited::default(),
    })
}

/// Checks that the key of a call still belongs to its account.
///
/// # Errors
///
/// Returns [`ErrorKind::InvalidKey`] if the key was revoked or moved to another account.
pub fn check_key(catalog: &Catalog, call: &Call) -> Result<(), GatewayError> {
    let is_open = catalog
        .routes
        .get(call.route)
        .is_some_and(|route| route.is_open);
    let account = call
        .key_digest
        .and_then(|digest| catalog.client_account_of_key(&digest));
    let is_valid = match call.key_digest {
        Some(_) => account.is_some() && account == call.client_account,
        None => is_open && call.client_account.is_none(),
    };
    if is_valid {
        Ok(())
    } else {
        Err(invalid_key())
    }
}

fn find_route(catalog: &Catalog, target: &CallTarget) -> Result<RouteKey, GatewayError> {
    match target {
        CallTarget::Model(name) => catalog.model_named(name).ok_or_else(|| {
            GatewayError::new(ErrorKind::UnknownModel, format!("no model named {name}"))
        }),
        CallTarget::Path(path) => catalog.service_for_path(path).ok_or_else(|| {
            GatewayError::new(ErrorKind::UnknownRoute, "no route matches this path")
        }),
    }
}

fn find_client_account(
    catalog: &Catalog,
    route: &Route,
    digest: Option<KeyDigest>,
) -> Result<Option<ClientAccountKey>, GatewayError> {
    let Some(digest) = digest else {
        return if route.is_open {
            Ok(None)
        } else {
            Err(GatewayError::new(
                ErrorKind::MissingKey,
                "this route needs a key: Authorization: Bearer KEY",
            ))
        };
    };
    match catalog.client_account_of_key(&digest) {
        Some(account) => Ok(Some(account)),
        None => Err(invalid_key()),
    }
}

fn invalid_key() -> GatewayError {
    GatewayError::new(ErrorKind::InvalidKey, "the key is not valid")
}

fn repeatability(route: &Route, body: &CallBody) -> Repeatability {
    match body {
        CallBody::Service(call) if call.method.is_safe() => Repeatability::Idempotent,
        _ => route.repeatability,
    }
}

/// Limits an answer whose length the caller did not set to the longest that the route allows.
fn with_answer_limit(route: &Route, body: CallBody) -> CallBody {
    match body {
        CallBody::Completion(mut call) if call.is_answer_length_unset => {
            call.answer_max_tokens = call.answer_max_tokens.min(route.answer_max_tokens);
            CallBody::Completion(call)
        }
        body => body,
    }
}

fn needed_tokens(route: &Route, body: &CallBody) -> Result<u64, GatewayError> {
    let CallBody::Completion(call) = body else {
        return Ok(route.call_cost_tokens);
    };
    if call.answer_max_tokens > route.answer_max_tokens {
        let limit = route.answer_max_tokens;
        let message = format!("max_tokens is over the limit of {limit} for this model");
        return Err(GatewayError::new(ErrorKind::MalformedRequest, message));
    }
    call.prompt_tokens
        .checked_add(call.answer_max_tokens)
        .ok_or_else(|| GatewayError::new(ErrorKind::MalformedRequest, "the token count overflows"))
}
