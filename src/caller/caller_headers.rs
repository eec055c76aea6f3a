//! The headers of a caller's request.

use std::sync::Arc;

use rocket::async_trait;
use rocket::http::HeaderMap;
use rocket::request::FromRequest;
use rocket::request::Outcome;
use rocket::Request;

use super::caller_connection::OpenRequest;
use super::caller_state::CallerState;
use crate::catalog::KeyDigest;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::IdempotencyKey;
use crate::request::RequestId;

const AUTHORIZATION: &str = "authorization";
const BEARER: &str = "bearer";
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The headers and the connection of a caller's request, and the identifier assigned to it.
///
/// Only the digest of the API key is kept.
#[derive(Clone, Debug)]
pub(super) struct CallerHeaders {
    /// The identifier of the request.
    pub(super) id: RequestId,
    /// The credentials, or the error to answer with if they are malformed.
    pub(super) credentials: Result<Credentials, GatewayError>,
    /// The connection that the request arrived on; `None` if it did not come through the listener.
    pub(super) connection: Option<Arc<OpenRequest>>,
}

/// The keys that a caller sent; `None` for a header that is absent.
#[derive(Clone, Debug)]
pub(super) struct Credentials {
    /// The digest of the API key.
    pub(super) key_digest: Option<KeyDigest>,
    /// The idempotency key.
    pub(super) idempotency_key: Option<IdempotencyKey>,
}

impl CallerHeaders {
    /// Reads the headers of `request` and assigns a random identifier.
    pub(super) fn read(request: &Request<'_>) -> Self {
        Self {
            id: RequestId(rand::random()),
            credentials: Credentials::read(request.headers()),
            connection: find_connection(request),
        }
    }

    /// Returns the connection that the request arrived on.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::MalformedRequest`] if the request did not come through the listener.
    pub(super) fn connection(&self) -> Result<Arc<OpenRequest>, GatewayError> {
        self.connection
            .clone()
            .ok_or_else(|| malformed("the request did not arrive through the callers' address"))
    }
}

impl Credentials {
    fn read(headers: &HeaderMap<'_>) -> Result<Self, GatewayError> {
        let idempotency_key = single_header(headers, IDEMPOTENCY_KEY)?
            .map(IdempotencyKey::new)
            .transpose()
            .map_err(|error| malformed(error.to_string()))?;
        Ok(Self {
            key_digest: read_key(headers)?,
            idempotency_key,
        })
    }
}

#[async_trait]
impl<'r> FromRequest<'r> for CallerHeaders {
    type Error = std::convert::Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        Outcome::Success(Self::read(request))
    }
}

fn find_connection(request: &Request<'_>) -> Option<Arc<OpenRequest>> {
    let state = request.rocket().state::<CallerState>()?;
    let connection = state.connections.find(request.remote()?)?;
    Some(Arc::new(OpenRequest::new(connection)))
}

fn read_key(headers: &HeaderMap<'_>) -> Result<Option<KeyDigest>, GatewayError> {
    let Some(value) = single_header(headers, AUTHORIZATION)? else {
        return Ok(None);
    };
    let key = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(BEARER))
        .map(|(_, key)| key.trim())
        .filter(|key| !key.is_empty())
        .ok_or_else(|| malformed("the Authorization header must have the form 'Bearer KEY'"))?;
    Ok(Some(KeyDigest::of_key(key)))
}

fn single_header<'h>(
    headers: &'h HeaderMap<'_>,
    name: &'static str,
) -> Result<Option<&'h str>, GatewayError> {
    let mut values = headers.get(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(malformed(format!("the header {name} came more than once")));
    }
    Ok(first)
}

fn malformed(message: impl Into<String>) -> GatewayError {
    GatewayError::new(ErrorKind::MalformedRequest, message)
}
