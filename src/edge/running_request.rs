//! A request that runs at an endpoint or another VM.

use std::rc::Rc;

use super::connection_lease::ConnectionLease;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;
use crate::placement::Placement;

/// A request that runs; dropping it closes its connection, which ends the work.
pub(super) struct RunningRequest {
    state: Rc<EntryState>,
    placement: Option<Placement>,
    lease: Option<ConnectionLease>,
    is_outcome_noted: bool,
}

impl RunningRequest {
    /// Notes a request that is about to be sent; `placement` is `None` at another VM.
    ///
    /// It counts from the choice on, not from the connection: requests that wait for connections
    /// would otherwise all find the endpoint free.
    pub(super) fn new(state: Rc<EntryState>, placement: Option<Placement>) -> Self {
        if let Some(placement) = &placement {
            let now = state.now();
            state.endpoints.borrow_mut().on_sent(now, placement);
        }
        Self {
            state,
            placement,
            lease: None,
            is_outcome_noted: false,
        }
    }

    pub(super) const fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Gives the request its connection.
    pub(super) fn attach(&mut self, lease: ConnectionLease) {
        self.lease = Some(lease);
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Panics before the request has a connection.
    pub(super) const fn lease_mut(&mut self) -> &mut ConnectionLease {
        self.lease
            .as_mut()
            .expect("the request was sent on a connection")
    }

    /// Notes how the attempt went.
    pub(super) fn note(&mut self, outcome: AttemptOutcome) {
        let now = self.state.now();
        if let Some(placement) = &self.placement {
            let mut endpoints = self.state.endpoints.borrow_mut();
            if self.is_outcome_noted {
                endpoints.on_late_outcome(now, placement, outcome);
            } else {
                endpoints.on_outcome(now, placement, outcome);
            }
        }
        self.is_outcome_noted = true;
    }

    /// Drops the idle connections to where the request ran.
    pub(super) fn discard_idle(&self) {
        if let Some(lease) = &self.lease {
            self.state.connection_pool.discard(lease.address);
        }
    }

    /// Keeps the connection of an answer that was read to its end.
    pub(super) fn finish(mut self) {
        if let Some(lease) = self.lease.take() {
            let now = self.state.now();
            self.state.connection_pool.give_back(now, lease);
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if let Some(placement) = &self.placement {
            let mut endpoints = self.state.endpoints.borrow_mut();
            if !self.is_outcome_noted {
                endpoints.on_abandoned(placement);
            }
            endpoints.on_done(placement);
        }
    }
}
