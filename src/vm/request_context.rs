//! The shared state of the request path.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use super::Blackboard;
use super::ControlHandle;
use super::DispatcherHandle;
use crate::audit::AuditEvent;
use crate::catalog::EndpointKey;
use crate::clock::Clock;
use crate::endpoint::EndpointClient;
use crate::operator::Explanations;
use crate::peer::PeerLink;
use crate::retry::RetryBudget;
use crate::retry::RetryPolicy;
use crate::routing::EndpointEvent;
use crate::telemetry::Telemetry;

/// The shared state of the request path.
pub struct RequestContext {
    /// The time source.
    pub clock: Arc<dyn Clock>,
    /// The published snapshots.
    pub blackboard: Arc<Blackboard>,
    /// The client that sends calls to endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// The connections to other VMs.
    pub peers: Arc<dyn PeerLink>,
    /// The handle of the control loop.
    pub control: ControlHandle,
    /// The handle of the queue of requests that wait for a slot.
    pub dispatcher: DispatcherHandle,
    /// The metrics and statistics of requests.
    pub telemetry: Arc<Telemetry>,
    /// The explanations of recent requests, for operators.
    pub explanations: Arc<Explanations>,
    /// Decides whether a failed attempt is retried.
    pub retry_policy: RetryPolicy,
    /// The retry budget of the VM.
    pub retry_budget: RetryBudget,
    /// The most requests that the VM runs at a time.
    pub running_max_requests: u32,
    /// The longest answer of a non-idempotent call that is stored for duplicates, in bytes.
    pub stored_answer_max_bytes: usize,
    /// The seed of the next random number generator.
    pub seed: AtomicU64,
}

impl RequestContext {
    /// Returns a random number generator for one decision.
    pub fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Writes to the audit trail that the circuit breaker of an endpoint opened or closed.
    pub fn audit_endpoint(&self, endpoint: EndpointKey, event: Option<EndpointEvent>) {
        let catalog = self.blackboard.catalog.load();
        let (Some(event), Some(endpoint)) = (event, catalog.endpoints.get(endpoint)) else {
            return;
        };
        let endpoint = endpoint.name.clone();
        let event = match event {
            EndpointEvent::TakenOut {
                consecutive_failures,
                cool_down_ms,
            } => AuditEvent::EndpointTakenOut {
                endpoint,
                reason: format!(
                    "{consecutive_failures} failures in a row, next probe in {cool_down_ms} ms"
                ),
            },
            EndpointEvent::TakenBack => AuditEvent::EndpointTakenBack { endpoint },
        };
        self.control.audit(event);
    }
}
