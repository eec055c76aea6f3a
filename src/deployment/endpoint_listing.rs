//! All endpoints and evacuated availability zones at one revision of the store.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

use super::EndpointPhase;
use super::EndpointRecord;
use super::ZoneKey;

/// The registered endpoints, ordered by instance, and the evacuated availability zones.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointListing {
    /// The endpoints, in the order of their instances.
    pub endpoints: Vec<EndpointRecord>,
    /// The availability zones whose endpoints get no new requests.
    pub evacuated: BTreeSet<ZoneKey>,
}

impl EndpointListing {
    /// Returns a hash of the fields that affect placement; the heartbeats of warm endpoints do not
    /// change it.
    pub fn content_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for endpoint in &self.endpoints {
            endpoint.instance.hash(&mut hasher);
            endpoint.service.hash(&mut hasher);
            endpoint.version.hash(&mut hasher);
            endpoint.address.hash(&mut hasher);
            endpoint.zone.hash(&mut hasher);
            endpoint.slots.hash(&mut hasher);
            (endpoint.phase == EndpointPhase::Draining).hash(&mut hasher);
            endpoint.cold_remaining.as_millis().hash(&mut hasher);
        }
        self.evacuated.hash(&mut hasher);
        hasher.finish()
    }
}
