//! The request by which an endpoint is asked for its report, and the start that it names.

use std::net::SocketAddr;

use http::header;
use http::Request;
use serde::Deserialize;

/// The report of an endpoint, which takes no slot.
const REPORT_PATH: &str = "/report";

#[derive(Debug, Deserialize)]
struct ReportWire {
    /// When the endpoint started, in Unix milliseconds.
    born: u64,
}

/// Decodes when the process that sent a report started, in Unix milliseconds; `None` if it does not say so.
pub fn decode_report(bytes: &[u8]) -> Option<u64> {
    // A list would pass for an object by the order of its entries.
    let object = Some(bytes.trim_ascii_start()).filter(|text| text.starts_with(b"{"))?;
    let report: ReportWire = serde_json::from_slice(object).ok()?;
    Some(report.born)
}

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
