//! What the path of a request works with.

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

/// What the path of a request works with.
pub struct RequestContext {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The published snapshots.
    pub blackboard: Arc<Blackboard>,
    /// The way to endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// The way to other VMs.
    pub peers: Arc<dyn PeerLink>,
    /// The control loop.
    pub control: ControlHandle,
    /// The queue.
    pub dispatcher: DispatcherHandle,
    /// Where outcomes are recorded.
    pub telemetry: Arc<Telemetry>,
    /// What is told about single requests.
    pub explanations: Arc<Explanations>,
    /// When a failed attempt is followed by another.
    pub retry_policy: RetryPolicy,
    /// The bound on retries.
    pub retry_budget: RetryBudget,
    /// The most requests that run through the VM.
    pub running_max_requests: u32,
    /// The longest answer of a non-idempotent call that is kept, in bytes.
    pub stored_answer_max_bytes: usize,
    /// The state of the random source of this VM.
    pub seed: AtomicU64,
}

impl RequestContext {
    /// Returns a random source for one decision.
    pub fn rng(&self) -> SmallRng {
        SmallRng::seed_from_u64(self.seed.fetch_add(1, Ordering::Relaxed))
    }

    /// Writes a change of an endpoint's place in the choice to the audit trail.
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
