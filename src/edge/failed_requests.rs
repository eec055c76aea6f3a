//! The requests that an endpoint refused or failed on one connection.

use xxhash_rust::xxh3::xxh3_64;

/// The number of requests after which a connection is closed.
const REQUESTS_MAX: usize = 64;

/// The identifiers of the requests that an endpoint refused or failed on one connection, as hashes.
///
/// Such a request may be sent again under its identifier, and endpoints may write an answer twice: on the
/// same connection the identifier would not tell the earlier answer from the one that is due.
#[derive(Clone, Debug, Default)]
pub struct FailedRequests {
    hashes: Vec<u64>,
}

impl FailedRequests {
    /// Adds a request.
    pub fn add(&mut self, request_id: &str) {
        self.hashes.push(xxh3_64(request_id.as_bytes()));
    }

    /// Returns whether a request was added; another one with the same hash counts as well.
    pub fn contains(&self, request_id: &str) -> bool {
        self.hashes.contains(&xxh3_64(request_id.as_bytes()))
    }

    /// Returns whether no more requests can be added.
    pub const fn is_full(&self) -> bool {
        self.hashes.len() >= REQUESTS_MAX
    }
}
