//! The result of a routing decision.

use std::time::Duration;

use thiserror::Error;

use super::Explanation;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// To an endpoint of the local region, from this VM.
    Local(EndpointKey),
    /// Into the queue of this VM, because no endpoint of the local region has a free slot.
    Queue,
    /// To a VM of another region, which serves the request or refuses it as not run.
    Forward {
        /// The VM.
        vm: VmKey,
        /// The VM's region.
        region: RegionKey,
        /// The endpoint that this VM would choose; the remote VM may choose another one.
        preferred_endpoint: EndpointKey,
    },
}

/// A routing decision with its expected times and the excluded endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteDecision {
    /// Where the request is sent.
    pub choice: RouteChoice,
    /// The expected network time to the chosen region and back; zero in the local region.
    pub network_time: Duration,
    /// The expected time to the first event of the answer.
    pub expected_first_event: Duration,
    /// The endpoints that were excluded.
    pub explanation: Explanation,
}

/// No endpoint can take the request; it did not run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("no endpoint can take the request: {explanation}")]
pub struct RouteRefusal {
    /// The time until an endpoint may be probed again; 2 s if none is cooling down.
    pub retry_after: Duration,
    /// The endpoints that were excluded.
    pub explanation: Explanation,
}

impl From<RouteRefusal> for GatewayError {
    fn from(refusal: RouteRefusal) -> Self {
        Self::new(ErrorKind::NoEndpoint, refusal.to_string()).with_retry_after(refusal.retry_after)
    }
}
