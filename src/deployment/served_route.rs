//! A route of a deployment.

use std::time::Duration;

use slotmap::new_key_type;

use super::HomeRegions;
use super::ServiceKey;
use crate::catalog::Name;

new_key_type! {
    /// A route of a [`Deployment`](super::Deployment).
    pub struct RouteKey;
}

/// Whether a request may be retried after it may have run, and whether its answer is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The answer is a stream that another endpoint can continue.
    ResumableStream,
    /// The answer is a stream, and the request may run at most once.
    AtMostOnceStream,
}

impl RetrySafety {
    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::AtMostOnceStream)
    }

    /// Returns whether the request may be retried after it may have run.
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service and its share of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceKey,
    /// The weight; the weights of a route need not sum up to anything.
    pub weight: u32,
}

/// How the requests of one path are served.
#[derive(Clone, Debug, PartialEq)]
pub struct ServedRoute {
    /// The name.
    pub name: Name,
    /// The prefix of the paths that the route matches.
    pub path_prefix: Box<str>,
    /// Whether its requests may be retried, and whether its answers are streams.
    pub retry_safety: RetrySafety,
    /// The longest time until the answer is complete.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub target_latency: Duration,
    /// The longest time between two events of a stream that is on time.
    pub event_gap: Duration,
    /// The priority of its requests, 0 first.
    pub priority: u8,
    /// The services that share the requests.
    pub services: Vec<WeightedService>,
    /// The largest number of attempts for one request, not counting those that did not run.
    pub attempts_max: u32,
    /// Whether requests need no API key.
    pub is_public: bool,
    /// The regions that may serve the route.
    pub home_regions: HomeRegions,
}

impl ServedRoute {
    /// Chooses the service of a request by the hash of its identifier.
    pub fn service_for(&self, request_hash: u64) -> Option<ServiceKey> {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut point = request_hash.checked_rem(total)?;
        for part in &self.services {
            let weight = u64::from(part.weight);
            if point < weight {
                return Some(part.service);
            }
            point -= weight;
        }
        None
    }
}
