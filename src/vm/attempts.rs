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
    /// To an endpoint of the local region.
    Slot(Slot),
    /// To a VM of another region.
    Peer(RemotePlace),
}

/// A VM of another region to forward a call to.
#[derive(Clone, Copy, Debug)]
pub(super) struct RemotePlace {
    /// The VM.
    pub(super) vm: VmKey,
    /// The endpoint that is expected to serve the call there.
    pub(super) preferred_endpoint: EndpointKey,
    /// The expected network round trip to the VM's region.
    pub(super) network_time: Duration,
}

/// The attempts made so far and their failures.
#[derive(Default)]
pub(super) struct Attempts {
    /// The number of attempts.
    pub(super) count: u32,
    /// The endpoints that were tried, the latest one last.
    pub(super) excluded: Vec<EndpointKey>,
    /// The endpoint that the next attempt resumes the answer at, `None` to choose one.
    pub(super) resume_at: Option<EndpointKey>,
    /// The place that takes over from the latest attempt, already chosen.
    pub(super) successor: Option<Place>,
    /// The expected time from the start of the latest attempt to its first event.
    pub(super) expected_first_event: Duration,
    /// The excluded endpoints that were only silent.
    pub(super) silent: Vec<EndpointKey>,
    may_have_run: bool,
    endpoint_error: Option<GatewayError>,
}

impl Attempts {
    /// Allows the endpoints that were only silent again; returns whether there are any.
    pub(super) fn readmit_silent(&mut self) -> bool {
        let silent = std::mem::take(&mut self.silent);
        self.excluded.retain(|endpoint| !silent.contains(endpoint));
        !silent.is_empty()
    }

    /// Returns the error with run state `MayHaveRun` in place of `NotRun` if an earlier attempt may
    /// have run.
    pub(super) fn with_earlier_runs(&mut self, error: GatewayError) -> GatewayError {
        let error = self.with_run_state(error);
        if error.kind != ErrorKind::NoEndpoint {
            self.endpoint_error = Some(error.clone());
        }
        error
    }

    /// Returns the failure of the latest attempt if the error is only that no other endpoint is
    /// left.
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
