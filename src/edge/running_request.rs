//! A request in flight at an endpoint or another VM.

use std::rc::Rc;

use http::StatusCode;

use super::overlap::SilentPath;
use super::pooled_connection::PooledConnection;
use crate::clock::Monotonic;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;
use crate::placement::Placement;
use crate::quarantine::InstanceHash;
use crate::quarantine::PartHash;

/// A request in flight; dropping it closes its connection, which cancels the work.
pub(super) struct RunningRequest {
    state: Rc<EntryState>,
    placement: Option<Placement>,
    instance: Option<InstanceHash>,
    connection: Option<PooledConnection>,
    began_at: Monotonic,
    is_outcome_recorded: bool,
}

impl RunningRequest {
    /// Records a request that is about to be sent; `placement` is `None` for another VM.
    ///
    /// The request adds to the endpoint's load from its placement on, not from when it is
    /// connected: otherwise all requests that wait for connections would see the endpoint as free.
    pub(super) fn new(state: Rc<EntryState>, placement: Option<Placement>) -> Self {
        let mut instance = None;
        let now = state.now();
        if let Some(placement) = &placement {
            let mut endpoints = state.endpoints.borrow_mut();
            endpoints.on_sent(now, placement);
            let endpoint = endpoints.get(placement.endpoint);
            instance = endpoint.map(|endpoint| InstanceHash::from(&endpoint.record().instance));
        }
        Self {
            state,
            placement,
            instance,
            connection: None,
            began_at: now,
            is_outcome_recorded: false,
        }
    }

    pub(super) fn state(&self) -> &EntryState {
        &self.state
    }

    pub(super) const fn placement(&self) -> Option<&Placement> {
        self.placement.as_ref()
    }

    /// Returns the endpoint instance; `None` for another VM.
    pub(super) const fn instance(&self) -> Option<InstanceHash> {
        self.instance
    }

    /// Sets the connection that the request uses.
    pub(super) fn attach(&mut self, connection: PooledConnection) {
        self.connection = Some(connection);
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Panics if [`Self::attach`] was not called.
    pub(super) const fn connection_mut(&mut self) -> &mut PooledConnection {
        self.connection
            .as_mut()
            .expect("a connection is attached before it is used")
    }

    /// Records the outcome of the attempt; a second outcome counts as a late one.
    pub(super) fn record_outcome(&mut self, outcome: AttemptOutcome) {
        let now = self.state.now();
        if let Some(placement) = &self.placement {
            let mut endpoints = self.state.endpoints.borrow_mut();
            if self.is_outcome_recorded {
                endpoints.on_late_outcome(now, placement, outcome);
            } else {
                endpoints.on_outcome(now, placement, outcome);
            }
        }
        self.is_outcome_recorded = true;
    }

    /// Records that the head of the answer arrived.
    pub(super) const fn on_head(&mut self, now: Monotonic) {
        self.began_at = now;
    }

    /// Records that the endpoint broke off its answer, for which these parts of the request may be the
    /// cause. What another VM passed on is recorded there.
    pub(super) fn record_crash(&self, parts: impl IntoIterator<Item = PartHash>) {
        if let Some(instance) = self.instance {
            let now = self.state.now();
            self.state
                .on_endpoint_crashed(now, instance, self.began_at, parts);
        }
        self.record_lost();
    }

    /// Records that the endpoint closed the connection unannounced.
    pub(super) fn record_lost(&self) {
        let connection = self.connection.as_ref();
        let connection = connection.filter(|connection| !connection.is_closing());
        if let (Some(_), Some(connection)) = (&self.placement, connection) {
            self.state.connection_pool.on_broken(connection);
        }
    }

    /// Records that the endpoint answered the request, which was sent at `sent_at`.
    pub(super) fn record_answered(&self, sent_at: Monotonic) {
        if let (Some(placement), Some(connection)) = (&self.placement, &self.connection) {
            let mut endpoints = self.state.endpoints.borrow_mut();
            endpoints.on_answered_over(placement.endpoint, connection.opened_at, sent_at);
        }
    }

    /// Returns whether the process of the endpoint may have ended since it was chosen.
    pub(super) fn may_have_restarted(&self) -> bool {
        let endpoints = self.state.endpoints.borrow();
        self.placement.is_some_and(|placement| {
            endpoints.may_have_ended_since(placement.endpoint, placement.chosen_at)
        })
    }

    /// Records that the endpoint survived the request, unless the answer may be another VM's own.
    pub(super) fn record_survived(&self, fingerprint: PartHash, status: StatusCode) {
        if self.instance.is_some() || status.is_success() {
            let now = self.state.now();
            self.state
                .on_request_survived(now, self.instance, fingerprint);
        }
    }

    /// Returns the way to the endpoint that works on the request.
    pub(super) fn path(&self) -> SilentPath {
        let vm = match (&self.placement, &self.connection) {
            (None, Some(connection)) => connection.address.ip(),
            _ => return SilentPath::Direct,
        };
        let fleet = self.state.fleet.borrow();
        SilentPath::Forwarded {
            round_trip: fleet.round_trip(vm),
        }
    }

    /// Drops the idle connections to the address that the request was sent to.
    pub(super) fn discard_idle(&self) {
        if let Some(connection) = &self.connection {
            self.state.connection_pool.discard_idle(connection.address);
        }
    }

    /// Returns the connection to the pool after the answer was read to its end.
    pub(super) fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            let now = self.state.now();
            self.state.connection_pool.release(now, connection);
        }
    }

    /// Returns the connection to the pool after a refusal or a failure was read to its end; another attempt
    /// of the request gets another connection, unless it is one to a VM: these write no answer twice.
    pub(super) fn finish_failed(mut self, request_id: &str) {
        if let (Some(connection), Some(_)) = (&mut self.connection, &self.placement) {
            connection.failed.add(request_id);
        }
        self.finish();
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        if let Some(placement) = &self.placement {
            let mut endpoints = self.state.endpoints.borrow_mut();
            if !self.is_outcome_recorded {
                endpoints.on_abandoned(placement);
            }
            endpoints.on_done(placement);
        }
    }
}
