//! Runs the attempts of one call and relays its answer.

use std::sync::Arc;
use std::time::Duration;

use futures::TryFutureExt;

use super::attempts::Attempts;
use super::attempts::Place;
use super::attempts::RemotePlace;
use super::call_end::endpoint_failure;
use super::call_end::AnswerSink;
use super::call_end::CallEnd;
use super::call_end::DisconnectPolicy;
use super::call_trace::forwarded;
use super::call_trace::weighed;
use super::check_key;
use super::forward_watch::ForwardWatch;
use super::progress::Progress;
use super::silence_watch::SilenceWatch;
use super::RequestContext;
use super::Slot;
use crate::catalog::EndpointKey;
use crate::catalog::EndpointKind;
use crate::catalog::VmKey;
use crate::catalog::WorkClass;
use crate::clock::Monotonic;
use crate::endpoint::EndpointCall;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::operator::StepEvent;
use crate::peer::ForwardRequest;
use crate::request::Call;
use crate::retry::AttemptFailure;
use crate::retry::RetryDecision;
use crate::routing::choose;
use crate::routing::Attempt;
use crate::routing::EndpointFailure;
use crate::routing::EndpointLoad;
use crate::routing::RouteChoice;
use crate::routing::RouteDecision;
use crate::routing::RouteQuery;
use crate::telemetry::ServedIn;

/// A call that this VM runs or forwards.
pub(super) struct CallTask {
    pub(super) context: Arc<RequestContext>,
    pub(super) call: Arc<Call>,
    pub(super) deadline: Monotonic,
    pub(super) sink: AnswerSink,
    pub(super) on_disconnect: DisconnectPolicy,
    /// The most cross-region forwards of the call in all, earlier ones included.
    pub(super) forwards_max: usize,
    pub(super) progress: Progress,
    pub(super) served_in: ServedIn,
}

impl CallTask {
    /// Makes attempts until one succeeds or no retry is allowed.
    pub(super) async fn run(&mut self) -> CallEnd {
        let mut attempts = Attempts::default();
        loop {
            let end = self.attempt(&mut attempts).await;
            let CallEnd::Failed(error) = end else {
                return end;
            };
            let error = attempts.with_earlier_runs(error);
            let kind = error.kind;
            if attempts.successor.is_none() {
                match self.decide(error, &attempts) {
                    RetryDecision::RetryElsewhere => attempts.resume_at = None,
                    RetryDecision::ResumeFrom(_) => {
                        attempts.resume_at = attempts.excluded.pop();
                    }
                    RetryDecision::Fail(error) => {
                        return CallEnd::Failed(attempts.cause_of(error));
                    }
                }
            }
            self.trace(StepEvent::Retried { kind });
        }
    }

    fn trace(&mut self, event: StepEvent) {
        let now = self.context.clock.now();
        self.progress.trace.add(now, event);
    }

    pub(super) fn decide(&self, error: GatewayError, attempts: &Attempts) -> RetryDecision {
        let is_model = matches!(self.call.body, crate::request::CallBody::Completion(_));
        let failure = AttemptFailure {
            error,
            repeatability: self.call.repeatability,
            can_resume: is_model && !attempts.excluded.is_empty(),
            chunks_passed: self.progress.passed_chunks,
            attempts: attempts.count,
            remaining: self.remaining(),
            expected_first_event: attempts.expected_first_event,
        };
        self.context
            .retry_policy
            .decide(failure, &self.context.retry_budget)
    }

    async fn attempt(&mut self, attempts: &mut Attempts) -> CallEnd {
        attempts.count += 1;
        let place = match self.place(attempts).await {
            Ok(place) => place,
            Err(error) => return CallEnd::Failed(error),
        };
        match place {
            Place::Slot(slot) => {
                attempts.excluded.push(slot.endpoint);
                self.serve(slot, attempts).await
            }
            Place::Peer(remote) => {
                attempts.excluded.push(remote.preferred_endpoint);
                self.forward_to(remote).await
            }
        }
    }

    async fn place(&mut self, attempts: &mut Attempts) -> Result<Place, GatewayError> {
        if let Some(place) = attempts.successor.take() {
            return Ok(place);
        }
        let catalog = self.context.blackboard.catalog.load_full();
        if self.progress.passed_chunks == 0 {
            // An answer that has begun is finished even if its key is revoked meanwhile.
            check_key(&catalog, &self.call)?;
        }
        if self.remaining().is_zero() {
            return Err(GatewayError::new(
                ErrorKind::DeadlineUnreachable,
                "the deadline has passed",
            ));
        }
        if let Some(endpoint) = attempts.resume_at {
            return self.slot_at(endpoint).map(Place::Slot);
        }
        let class = self.class();
        let decision = match self.choose(class, &attempts.excluded) {
            Err(_) if attempts.readmit_silent() => self.choose(class, &attempts.excluded)?,
            chosen => chosen?,
        };
        attempts.expected_first_event = decision.expected_first_event;
        self.trace(weighed(&catalog, &decision));
        match decision.choice {
            RouteChoice::Local(endpoint) if !self.context.dispatcher.has_waiting(class) => {
                self.slot_at(endpoint).map(Place::Slot)
            }
            RouteChoice::Local(_) | RouteChoice::Queue => {
                self.trace(StepEvent::Queued);
                let call = Arc::clone(&self.call);
                let excluded = attempts.excluded.clone();
                let slot = self
                    .context
                    .dispatcher
                    .acquire(call, excluded, self.start_by());
                slot.await.map(Place::Slot)
            }
            RouteChoice::Forward {
                vm,
                preferred_endpoint,
                ..
            } => Ok(Place::Peer(RemotePlace {
                vm,
                preferred_endpoint,
                network_time: decision.network_time,
            })),
        }
    }

    pub(super) fn choose(
        &self,
        class: WorkClass,
        excluded: &[EndpointKey],
    ) -> Result<RouteDecision, GatewayError> {
        let blackboard = &self.context.blackboard;
        let catalog = blackboard.catalog.load();
        let view = blackboard.membership.load();
        let loads = blackboard.endpoint_loads.load();
        let query = RouteQuery {
            catalog: &catalog,
            view: &view,
            loads: &loads,
            call: &self.call,
            excluded,
            forwards_max: self.forwards_max,
            queue_wait: self.context.dispatcher.expected_wait(class),
        };
        let now = self.context.clock.now();
        Ok(choose(now, &query, &mut self.context.rng())?)
    }

    pub(super) fn slot_at(&self, endpoint: EndpointKey) -> Result<Slot, GatewayError> {
        let load = self.load_of(endpoint)?;
        let attempt = load.on_sent(self.context.clock.now(), &self.call);
        Ok(Slot { endpoint, attempt })
    }

    pub(super) fn load_of(&self, endpoint: EndpointKey) -> Result<Arc<EndpointLoad>, GatewayError> {
        let loads = self.context.blackboard.endpoint_loads.load();
        loads
            .get(endpoint)
            .cloned()
            .ok_or_else(|| GatewayError::new(ErrorKind::NoEndpoint, "the endpoint was removed"))
    }

    /// Sends the call to an endpoint and relays the answer.
    async fn serve(&mut self, slot: Slot, attempts: &mut Attempts) -> CallEnd {
        let catalog = self.context.blackboard.catalog.load_full();
        let Some(endpoint) = catalog.endpoints.get(slot.endpoint).cloned() else {
            let error = GatewayError::new(ErrorKind::NoEndpoint, "the endpoint was removed");
            return CallEnd::Failed(error);
        };
        let load = match self.load_of(slot.endpoint) {
            Ok(load) => load,
            Err(error) => return CallEnd::Failed(error),
        };
        let call = self.endpoint_call(endpoint.kind);
        self.trace(StepEvent::Sent {
            endpoint: endpoint.name.clone(),
        });
        let mut watch = self.silence_watch(endpoint.clone(), slot, load, attempts);
        let endpoints = Arc::clone(&self.context.endpoints);
        let stream = async move { endpoints.call(&endpoint, call).await };
        let stream = Box::pin(stream.try_flatten_stream());
        let end = self.relay(stream, &mut watch).await;
        let SilenceWatch { slot, load, .. } = watch;
        self.release(slot.endpoint, &load, slot.attempt, &end);
        end
    }

    fn release(&self, endpoint: EndpointKey, load: &EndpointLoad, attempt: Attempt, end: &CallEnd) {
        let now = self.context.clock.now();
        let event = match end {
            CallEnd::Completed(usage) => load.on_done(now, attempt, *usage),
            CallEnd::Failed(error) => load.on_failed(now, attempt, endpoint_failure(error)),
            CallEnd::Disconnected => load.on_failed(now, attempt, EndpointFailure::Unrelated),
        };
        self.context.audit_endpoint(endpoint, event);
        self.context.dispatcher.on_slot_freed();
    }

    /// Forwards the call to a VM of another region, and counts it in the preferred endpoint's load.
    async fn forward_to(&mut self, remote: RemotePlace) -> CallEnd {
        let endpoint = remote.preferred_endpoint;
        let load = match self.load_of(endpoint) {
            Ok(load) => load,
            Err(error) => return CallEnd::Failed(error),
        };
        let now = self.context.clock.now();
        let attempt = load.on_forwarded(now, &self.call, remote.network_time);
        let mut watch = ForwardWatch::Counted {
            endpoint,
            load,
            attempt,
        };
        let end = self.forward(remote.vm, Some(endpoint), &mut watch).await;
        if let ForwardWatch::Counted { load, attempt, .. } = watch {
            self.release(endpoint, &load, attempt, &end);
        }
        end
    }

    /// Forwards the call to another VM and relays the answer.
    pub(super) async fn forward(
        &mut self,
        to: VmKey,
        preferred_endpoint: Option<EndpointKey>,
        watch: &mut ForwardWatch,
    ) -> CallEnd {
        let catalog = self.context.blackboard.catalog.load_full();
        let local_vm = self.context.blackboard.membership.load().local_vm;
        let Some(local_region) = catalog.vms.get(local_vm).map(|vm| vm.region) else {
            let error =
                GatewayError::new(ErrorKind::NotReady, "this VM is no longer in the roster");
            return CallEnd::Failed(error);
        };
        let mut call = Call::clone(&self.call);
        call.visited.push(local_vm, local_region);
        call.remaining = self.remaining();
        let request = ForwardRequest {
            call,
            preferred_endpoint,
        };
        self.served_in = ServedIn::OtherRegion;
        if let Some(step) = forwarded(&catalog, to) {
            self.trace(step);
        }
        let peers = Arc::clone(&self.context.peers);
        match peers.forward(to, request).await {
            Ok(stream) => self.relay(stream, watch).await,
            Err(error) => CallEnd::Failed(error),
        }
    }

    fn endpoint_call(&self, kind: EndpointKind) -> EndpointCall {
        let remaining = self.remaining();
        let resume_offset = match kind {
            EndpointKind::Engine => self.progress.passed_chunks,
            EndpointKind::Service => 0,
        };
        EndpointCall {
            request_id: self.call.id,
            body: self.call.body.clone(),
            class: self.class(),
            resume_offset,
            // The silence watch ends the attempt earlier if another endpoint can take it over.
            first_event_timeout: remaining,
            silence_timeout: remaining,
            remaining,
        }
    }

    pub(super) fn class(&self) -> WorkClass {
        let catalog = self.context.blackboard.catalog.load();
        let route = catalog.routes.get(self.call.route);
        route.map_or(WorkClass::Long, |route| route.class)
    }

    /// Returns the latest start: the route's first-event timeout from now, or the deadline if that is
    /// earlier.
    fn start_by(&self) -> Monotonic {
        let catalog = self.context.blackboard.catalog.load();
        let route = catalog.routes.get(self.call.route);
        let first_event_ms = route.map_or(0, |route| route.first_event_timeout_ms);
        let now = self.context.clock.now();
        let remaining = self.remaining();
        now + remaining.min(Duration::from_millis(first_event_ms))
    }

    pub(super) fn remaining(&self) -> Duration {
        self.deadline.since(self.context.clock.now())
    }

    pub(super) fn deadline_error(&self) -> GatewayError {
        GatewayError::new(ErrorKind::DeadlineExceeded, "the deadline has passed")
    }
}
