//! The head of an answer as its client gets it.

use http::header;
use http::HeaderMap;
use http::StatusCode;

use super::attempt::Answer;
use super::forward_headers;

/// The headers of an answer that apply to a single connection.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
];

/// Removes the hop-by-hop headers from an endpoint's answer.
pub(super) fn client_headers(mut headers: HeaderMap) -> HeaderMap {
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers
}

/// The head of the answer that brought the first event, as it is passed on.
#[derive(Clone, Debug)]
pub(super) struct ClientHead {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
}

impl From<&Answer> for ClientHead {
    fn from(answer: &Answer) -> Self {
        let mut headers = client_headers(answer.parts.headers.clone());
        headers.remove(header::CONTENT_LENGTH);
        forward_headers::set_version(&mut headers, answer.version);
        Self {
            status: answer.parts.status,
            headers,
        }
    }
}
