//! What makes two requests the same to an endpoint.

use xxhash_rust::xxh3::Xxh3;

use super::PartHash;

/// What an endpoint gets of a request; repeats of a request differ in their identifiers only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host.
    pub host: &'a str,
    /// The path and query.
    pub path: &'a str,
    /// The name of the account; `None` for a public route.
    pub account: Option<&'a str>,
    /// The body.
    pub body: &'a [u8],
}

/// The fingerprint of a request.
impl From<RequestIdentity<'_>> for PartHash {
    fn from(request: RequestIdentity<'_>) -> Self {
        let account = request.account.unwrap_or_default();
        let head = [request.method, request.host, request.path, account];
        let mut hasher = Xxh3::new();
        for field in head.map(str::as_bytes).into_iter().chain([request.body]) {
            // Lengths keep the end of one field apart from the start of the next.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }
        Self::of_request(hasher.digest())
    }
}
