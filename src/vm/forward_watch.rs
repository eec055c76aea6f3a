//! Follows the answer of a forwarded call.

use std::sync::Arc;
use std::time::Duration;

use super::call_task::CallTask;
use super::relay::RelayWatch;
use crate::catalog::EndpointKey;
use crate::clock::Monotonic;
use crate::errors::GatewayError;
use crate::routing::Attempt;
use crate::routing::EndpointLoad;

/// Longer than any deadline.
const NEVER: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Follows the answer of a forwarded call; the serving VM follows the silences of its endpoint.
pub(super) enum ForwardWatch {
    /// Counts nothing.
    Uncounted,
    /// Counts the call in the load of the endpoint that is expected to serve it.
    Counted {
        endpoint: EndpointKey,
        load: Arc<EndpointLoad>,
        attempt: Attempt,
    },
}

impl RelayWatch for ForwardWatch {
    fn on_event(&mut self, task: &CallTask, now: Monotonic) {
        if let Self::Counted {
            endpoint,
            load,
            attempt,
        } = self
        {
            let event = load.on_event(now, attempt);
            task.context.audit_endpoint(*endpoint, event);
        }
    }

    fn silence_timeout(&self) -> Duration {
        NEVER
    }

    fn on_silence(&mut self, _task: &CallTask, _now: Monotonic) -> Result<Duration, GatewayError> {
        Ok(NEVER)
    }
}
