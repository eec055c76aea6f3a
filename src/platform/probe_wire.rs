//! The request by which an endpoint is asked for a sign of life.

use std::net::SocketAddr;

use http::header;
use http::Request;

/// The report of an endpoint, which takes no slot.
const REPORT_PATH: &str = "/report";

/// Builds a request that an endpoint answers whatever it is doing.
///
/// # Panics
///
/// Never panics: the path and an address are valid in a request.
pub fn probe_request(address: SocketAddr) -> Request<()> {
    Request::get(REPORT_PATH)
        .header(header::HOST, address.to_string())
        .body(())
        .expect("a path and an address form a request")
}
