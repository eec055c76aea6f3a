//! Where a request goes, and why.

use std::time::Duration;

use thiserror::Error;

use super::Explanation;
use crate::catalog::EndpointKey;
use crate::catalog::RegionKey;
use crate::catalog::VmKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// To an endpoint of the own region, from this VM.
    Local(EndpointKey),
    /// Into the queue of this VM, as the endpoints of its region have no free slot for it.
    Queue,
    /// To a VM of another region, which serves it or refuses it as not run.
    Forward {
        /// The VM.
        vm: VmKey,
        /// Its region.
        region: RegionKey,
        /// The endpoint that this VM would take; the other may take another.
        preferred_endpoint: EndpointKey,
    },
}

/// Where a request goes, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteDecision {
    /// Where it goes.
    pub choice: RouteChoice,
    /// The expected time for the way to another region and back.
    pub network_time: Duration,
    /// The expected time to the first event.
    pub expected_first_event: Duration,
    /// What was left out.
    pub explanation: Explanation,
}

/// No endpoint can take the request; it did not run.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("no endpoint can take the request: {explanation}")]
pub struct RouteRefusal {
    /// When an endpoint may be back.
    pub retry_after: Duration,
    /// What was left out.
    pub explanation: Explanation,
}

impl From<RouteRefusal> for GatewayError {
    fn from(refusal: RouteRefusal) -> Self {
        Self::new(ErrorKind::NoEndpoint, refusal.to_string()).with_retry_after(refusal.retry_after)
    }
}
