//! The identity of a stream over a client's attempts.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Name;
use crate::quarantine::PartHash;

/// Identifies a stream over all attempts of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that the client attempt `first_attempt` began.
    ///
    /// Other clients may use the same identifier, and a route may have moved to another service, so the
    /// `fingerprint` of the request and its service are part of the key.
    pub fn new(first_attempt: &str, fingerprint: PartHash, service: &Name) -> Self {
        let request = xxh3_64_with_seed(first_attempt.as_bytes(), fingerprint.0);
        Self(xxh3_64_with_seed(service.as_str().as_bytes(), request))
    }
}
