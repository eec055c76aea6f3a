//! Fingerprints that detect the reuse of an idempotency key.

use xxhash_rust::xxh3::Xxh3;

use crate::catalog::Catalog;
use crate::request::Call;
use crate::request::CallBody;

/// A hash of a request, to detect a different request under the same idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Computes the fingerprint of the route and the content of a call; it is the same on every VM.
    pub fn of_call(catalog: &Catalog, call: &Call) -> Self {
        let mut hasher = Xxh3::new();
        if let Some(route) = catalog.routes.get(call.route) {
            update(&mut hasher, route.name.as_str().as_bytes());
        }
        match &call.body {
            CallBody::Completion(completion) => update(&mut hasher, &completion.body),
            CallBody::Service(service) => {
                update(&mut hasher, service.method.as_str().as_bytes());
                update(&mut hasher, service.path_and_query.as_bytes());
                let content_type = service.content_type.as_deref().unwrap_or_default();
                update(&mut hasher, content_type.as_bytes());
                update(&mut hasher, &service.body);
            }
        }
        Self(hasher.digest128())
    }
}

/// Hashes a part preceded by its length, so that a different split of the same bytes differs.
fn update(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}
