//! The attempts of one call.

use std::time::Duration;

use super::Slot;
use crate::catalog::EndpointKey;
use crate::catalog::VmKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;

/// Where an attempt goes.
pub(super) enum Place {
    /// To an endpoint of the own region.
    Slot(Slot),
    /// To a VM of another region.
    Peer(RemotePlace),
}

/// A VM of another region, and the endpoint that is expected to serve the call.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemotePlace {
    /// The VM.
    pub(super) vm: VmKey,
    /// The endpoint.
    pub(super) preferred_endpoint: EndpointKey,
    /// The expected time for the way there and back.
    pub(super) network_time: Duration,
}

/// What is known about the attempts so far.
#[derive(Default)]
pub(super) struct Attempts {
    /// Their number.
    pub(super) count: u32,
    /// The endpoints that were tried, the last one last.
    pub(super) excluded: Vec<EndpointKey>,
    /// The endpoint that the answer is resumed at.
    pub(super) resume_at: Option<EndpointKey>,
    /// The expected time of the last attempt to its first event.
    pub(super) expected_first_event: Duration,
    may_have_run: bool,
    endpoint_error: Option<GatewayError>,
}

impl Attempts {
    /// Keeps an error from saying "not run" when an earlier attempt may have run.
    pub(super) fn with_earlier_runs(&mut self, error: GatewayError) -> GatewayError {
        let error = self.with_run_state(error);
        if error.kind != ErrorKind::NoEndpoint {
            self.endpoint_error = Some(error.clone());
        }
        error
    }

    /// Returns the failure of the last attempt in place of the lack of a further endpoint.
    pub(super) fn cause_of(&mut self, error: GatewayError) -> GatewayError {
        if error.kind != ErrorKind::NoEndpoint {
            return error;
        }
        self.endpoint_error.take().unwrap_or(error)
    }

    fn with_run_state(&mut self, error: GatewayError) -> GatewayError {
        self.may_have_run |= error.run != RunState::NotRun;
        if self.may_have_run && error.run == RunState::NotRun {
            return error.with_run(RunState::MayHaveRun);
        }
        error
    }
}
