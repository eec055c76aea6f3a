//! The requests that an endpoint refused on one connection.

use xxhash_rust::xxh3::xxh3_64;

/// The identifiers of the requests that an endpoint refused on one connection, as hashes.
#[derive(Debug, Default)]
pub(super) struct RefusedRequests {
    hashes: Vec<u64>,
}

impl RefusedRequests {
    /// Adds a request that was refused.
    pub(super) fn add(&mut self, request_id: &str) {
        self.hashes.push(xxh3_64(request_id.as_bytes()));
    }

    /// Returns whether a request was refused before.
    pub(super) fn contains(&self, request_id: &str) -> bool {
        self.hashes.contains(&xxh3_64(request_id.as_bytes()))
    }
}
