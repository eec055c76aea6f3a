//! Answers to requests that match no route.

use rocket::catch;
use rocket::http::Status;
use rocket::Request;

use super::caller_answer::CallerAnswer;
use super::caller_headers::CallerHeaders;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// Answers a request that matched no route or that Rocket rejected.
#[catch(default)]
pub(super) fn unrouted(status: Status, request: &Request<'_>) -> CallerAnswer {
    let id = CallerHeaders::read(request).id;
    CallerAnswer::error(id, &error_of(status))
}

fn error_of(status: Status) -> GatewayError {
    match status.code {
        404 => GatewayError::new(ErrorKind::UnknownRoute, "nothing has this method and path"),
        413 => GatewayError::new(ErrorKind::BodyTooLarge, "the body is over the limit"),
        400..=499 => GatewayError::new(ErrorKind::MalformedRequest, "this is not a valid request"),
        _ => GatewayError::new(ErrorKind::Internal, "the request could not be handled"),
    }
}
