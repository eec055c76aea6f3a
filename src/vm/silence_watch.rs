//! Follows the answer of an endpoint, and hands the call over if the endpoint falls silent.

use std::sync::Arc;
use std::time::Duration;

use super::attempts::Attempts;
use super::attempts::Place;
use super::attempts::RemotePlace;
use super::call_task::CallTask;
use super::check_key;
use super::relay::RelayWatch;
use super::Slot;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::clock::Monotonic;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::retry::RetryDecision;
use crate::routing::EndpointLoad;
use crate::routing::RouteChoice;

/// The time between two searches for an endpoint that can take over.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Follows the answer of an endpoint.
///
/// A sound endpoint may be silent for a time, so a silent attempt ends only once its successor is
/// chosen. Without one it goes on until the deadline of the call.
pub(super) struct SilenceWatch<'a> {
    pub(super) slot: Slot,
    pub(super) load: Arc<EndpointLoad>,
    endpoint: Endpoint,
    attempts: &'a mut Attempts,
    first_event_timeout: Duration,
    event_timeout: Duration,
    latest_event_at: Option<Monotonic>,
    is_silent: bool,
}

/// A place that can take a call now, not reserved yet.
enum FreePlace {
    Slot(EndpointKey),
    Peer(RemotePlace),
}

impl CallTask {
    /// Creates the watch of an attempt that is about to be sent.
    pub(super) fn silence_watch<'a>(
        &self,
        endpoint: Endpoint,
        slot: Slot,
        load: Arc<EndpointLoad>,
        attempts: &'a mut Attempts,
    ) -> SilenceWatch<'a> {
        let catalog = self.context.blackboard.catalog.load();
        let route = catalog.routes.get(self.call.route);
        let remaining = self.remaining();
        SilenceWatch {
            slot,
            load,
            endpoint,
            attempts,
            first_event_timeout: route.map_or(remaining, |route| {
                Duration::from_millis(route.first_event_timeout_ms)
            }),
            event_timeout: route.map_or(remaining, |route| {
                Duration::from_millis(route.silence_timeout_ms)
            }),
            latest_event_at: None,
            is_silent: false,
        }
    }

    /// Returns a place for a call whose answer has not begun, if one can take it now and its key is
    /// still valid.
    fn free_place(&self, attempts: &mut Attempts) -> Option<FreePlace> {
        check_key(&self.context.blackboard.catalog.load(), &self.call).ok()?;
        let class = self.class();
        let decision = self.choose(class, &attempts.excluded).ok()?;
        let place = match decision.choice {
            RouteChoice::Local(endpoint) if !self.context.dispatcher.has_waiting(class) => {
                FreePlace::Slot(endpoint)
            }
            RouteChoice::Local(_) | RouteChoice::Queue => return None,
            RouteChoice::Forward {
                vm,
                preferred_endpoint,
                ..
            } => FreePlace::Peer(RemotePlace {
                vm,
                preferred_endpoint,
                network_time: decision.network_time,
            }),
        };
        attempts.expected_first_event = decision.expected_first_event;
        Some(place)
    }
}

impl SilenceWatch<'_> {
    /// Chooses where the call goes on; takes a retry from the budget.
    fn successor(&mut self, task: &CallTask) -> Option<Place> {
        let place = if task.progress.passed_chunks == 0 {
            task.free_place(self.attempts)?
        } else {
            self.resumable_place()?
        };
        match task.decide(silent_error(), self.attempts) {
            RetryDecision::RetryElsewhere => self.attempts.silent.push(self.slot.endpoint),
            RetryDecision::ResumeFrom(_) => {
                self.attempts.excluded.pop();
            }
            RetryDecision::Fail(_) => return None,
        }
        match place {
            FreePlace::Slot(endpoint) => task.slot_at(endpoint).ok().map(Place::Slot),
            FreePlace::Peer(remote) => Some(Place::Peer(remote)),
        }
    }

    /// Returns the endpoint itself if it has reported its load during the silence: then it can
    /// resume the answer on another connection.
    fn resumable_place(&self) -> Option<FreePlace> {
        let is_answering = self.load.reported_at() > self.latest_event_at?;
        is_answering.then_some(FreePlace::Slot(self.slot.endpoint))
    }
}

impl RelayWatch for SilenceWatch<'_> {
    fn on_event(&mut self, task: &CallTask, now: Monotonic) {
        self.latest_event_at = Some(now);
        self.is_silent = false;
        let event = self.load.on_event(now, &mut self.slot.attempt);
        task.context.audit_endpoint(self.slot.endpoint, event);
    }

    fn silence_timeout(&self) -> Duration {
        match self.latest_event_at {
            None => self.first_event_timeout,
            Some(_) => self.event_timeout,
        }
    }

    fn on_silence(&mut self, task: &CallTask, now: Monotonic) -> Result<Duration, GatewayError> {
        if !std::mem::replace(&mut self.is_silent, true) {
            let event = self.load.on_silence(now, &mut self.slot.attempt);
            task.context.audit_endpoint(self.slot.endpoint, event);
            task.context.endpoints.discard_connections(&self.endpoint);
        }
        self.attempts.successor = self.successor(task);
        match self.attempts.successor {
            Some(_) => Err(silent_error()),
            None => Ok(SEARCH_INTERVAL),
        }
    }
}

fn silent_error() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerSilent,
        "no event of the answer arrived within the timeout",
    )
}
