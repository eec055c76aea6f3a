//! Sends an idempotent request a second time, over a new connection, beside a silent attempt.
//!
//! A request that is sent again while its first attempt goes on is a hedged request (Dean and Barroso,
//! "The Tail at Scale", 2013).

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::sleep;

use super::attempt;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::SilentAttempt;
use super::attempt::Target;
use super::attempts::Attempts;
use super::continuation::Continuation;
use super::endpoint_probe::probe;
use super::silence::SilenceLimits;
use crate::clock::Monotonic;
use crate::deployment::RetrySafety;
use crate::placement::Placement;
use crate::placement::ProbeOutcome;

/// How long the first attempt may still be silent after the endpoint has answered a probe: an endpoint whose
/// silence is over answers both.
const ANSWER_GRACE: Duration = Duration::from_millis(200);

/// The second attempt at a request, beside the first one.
#[derive(Default)]
struct Hedge {
    /// Wakes the second attempt whenever the first was silent and there was no other target.
    silence: Notify,
    /// Whether it is under way.
    is_running: Cell<bool>,
    /// The number of times that it was sent.
    sent_count: Cell<u32>,
}

impl Attempts {
    /// Sends the request to a target and waits for the head of its answer.
    ///
    /// The connection of an attempt may pass nothing any more although its endpoint is sound. If there is
    /// no other target, an idempotent request is sent to the endpoint once more over a new connection. The
    /// silent attempt goes on, as the endpoint may only be slow; the first answer counts.
    ///
    /// # Errors
    ///
    /// Returns the error of the first attempt if neither has an answer.
    pub(super) async fn send(
        &mut self,
        target: &Target,
        continuation: Continuation,
        limits: SilenceLimits,
    ) -> Result<Answer, AttemptError> {
        let hedge = Hedge::default();
        let sent = self.send_hedged(&hedge, target, continuation, limits).await;
        self.arrived_count += hedge.sent_count.get();
        self.ran_count += hedge.sent_count.get();
        sent
    }

    async fn send_hedged(
        &mut self,
        hedge: &Hedge,
        target: &Target,
        continuation: Continuation,
        limits: SilenceLimits,
    ) -> Result<Answer, AttemptError> {
        let (state, request) = (Rc::clone(&self.state), Rc::clone(&self.request));
        let second = self.second();
        let mut second = pin!(second.answer(hedge, target));
        let try_leave = |silent: SilentAttempt| {
            if hedge.is_running.get() {
                return false;
            }
            let leaves = self.try_leave(silent.now);
            if !leaves && silent.is_connection_reused {
                hedge.silence.notify_one();
            }
            leaves
        };
        let first = attempt::send(&state, &request, target, continuation, limits, try_leave);
        let sent = tokio::select! {
            biased;
            sent = first => sent,
            Some(answer) = &mut second => return Ok(answer),
        };
        match sent {
            Err(error) if hedge.is_running.get() => second.await.ok_or(error),
            sent => sent,
        }
    }

    /// Returns the attempts that are made beside one that is about to be sent.
    fn second(&self) -> Self {
        let (state, request) = (Rc::clone(&self.state), Rc::clone(&self.request));
        let mut second = Self::new(state, request);
        second.tried = self.tried.without_last();
        second.ran_count = self.ran_count + 1;
        second
    }

    /// Waits for the silence of the first attempt and sends the request once more to the same endpoint;
    /// `None` if that is not allowed or gave no answer.
    async fn answer(mut self, hedge: &Hedge, target: &Target) -> Option<Answer> {
        let Target::Endpoint {
            placement, address, ..
        } = target
        else {
            return None;
        };
        if self.request.route.retry_safety != RetrySafety::Idempotent {
            return None;
        }
        let target = self.hedge_target(hedge, placement, *address).await;
        let now = self.state.now();
        if !self.state.try_take_retry(now, &self.request.service.name) {
            return None;
        }
        hedge.is_running.set(true);
        hedge.sent_count.set(1);
        log::info!(
            request = &*self.request.head.request_id,
            to:% = target;
            "sent once more beside a silent attempt"
        );
        // The other idle connections to the address may be silent too.
        self.state.connection_pool.discard_idle(*address);
        let limits = SilenceLimits {
            silence_timeout: None,
            time_left: self.request.time_left(now),
        };
        let continuation = Continuation::default();
        let (state, request) = (&self.state, &self.request);
        let sent = attempt::send(state, request, &target, continuation, limits, |_| false);
        // Few requests get here, and all reserve the size of this future.
        let sent = Box::pin(sent).await;
        hedge.is_running.set(false);
        if let Err(AttemptError::Unreached { .. } | AttemptError::NotRun { .. }) = &sent {
            hedge.sent_count.set(0);
        }
        sent.inspect_err(|error| {
            log::info!(
                request = &*request.head.request_id,
                error:? = error;
                "no answer beside a silent attempt"
            );
        })
        .ok()
    }

    /// Returns the same endpoint as a target, as soon as it answers others than the silent attempt and
    /// may take the request.
    async fn hedge_target(
        &mut self,
        hedge: &Hedge,
        silent: &Placement,
        address: SocketAddr,
    ) -> Target {
        loop {
            hedge.silence.notified().await;
            if self.find_again(self.state.now(), silent).is_none() {
                continue;
            }
            if !self.is_answering(address).await {
                continue;
            }
            sleep(ANSWER_GRACE).await;
            if let Some(target) = self.find_again(self.state.now(), silent) {
                return target;
            }
        }
    }

    /// Returns the endpoint of the silent attempt as a target, if it is the next one and has not reported
    /// since that it has no free slot.
    fn find_again(&mut self, now: Monotonic, silent: &Placement) -> Option<Target> {
        let is_quarantined = self
            .state
            .quarantine_remaining(now, self.request.parts())
            .is_some();
        if is_quarantined || self.state.has_repeated_crashes(self.request.fingerprint) {
            return None;
        }
        self.update_homes();
        let is_full = {
            let endpoints = self.state.endpoints.borrow();
            endpoints
                .get(silent.endpoint)
                .is_none_or(|state| state.is_reported_full(now, silent.chosen_at))
        };
        let target = self.choose(now).ok().filter(|_| !is_full);
        target.filter(|target| {
            matches!(target, Target::Endpoint { placement, .. } if placement.endpoint == silent.endpoint)
        })
    }

    /// Returns whether an endpoint answers on a new connection; one request at a time finds that out.
    async fn is_answering(&self, address: SocketAddr) -> bool {
        let _turn = self.state.probe_turn.lock().await;
        Box::pin(probe(&self.state, &[address])).await == ProbeOutcome::Answered
    }
}
