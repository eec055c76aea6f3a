//! Names the attempt in the answers of a stand-in.

use rocket::fairing::AdHoc;

use crate::endpoint::ATTEMPT_HEADER;

/// Repeats the attempt of each request in its answer.
pub(super) fn name_attempts() -> AdHoc {
    AdHoc::on_response("name the attempt", |request, response| {
        Box::pin(async move {
            if let Some(attempt) = request.headers().get_one(ATTEMPT_HEADER) {
                response.set_raw_header(ATTEMPT_HEADER, attempt.to_owned());
            }
        })
    })
}
