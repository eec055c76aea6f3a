//! Sends a request, with retries, until it has an answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::answer_memory::AnswerMemory;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::Target;
use super::client_head;
use super::client_request::ClientRequest;
use super::continuation::Continuation;
use super::edge_body::whole_answer;
use super::failure_status::may_pass_status;
use super::forward_headers;
use super::relay;
use super::request_homes::RequestHomes;
use super::silence::SilenceLimits;
use super::take_up;
use super::tried_targets::TriedTarget;
use super::tried_targets::TriedTargets;
use super::EdgeBody;
use super::Refusal;
use super::RefusalKind;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::deployment::RetrySafety;
use crate::deployment::SoftwareVersion;
use crate::entry::EntryState;
use crate::placement::AttemptOutcome;

/// The fraction of the remaining time that an attempt may wait for the head of an answer if a retry
/// can follow.
const RETRYABLE_ATTEMPT_FRACTION: f64 = 0.5;

/// The default `Retry-After` if endpoints refused the request.
const ENDPOINTS_FULL_RETRY_AFTER: Duration = Duration::from_millis(500);

/// `Retry-After` is at most the client's remaining time divided by this.
const RETRY_AFTER_DIVISOR: u32 = 3;

/// The longest answer that is buffered before it is passed on.
const WHOLE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The attempts of one request.
pub(super) struct Attempts {
    pub(super) state: Rc<EntryState>,
    pub(super) request: Rc<ClientRequest>,
    pub(super) tried: TriedTargets,
    pub(super) arrived_count: u32,
    pub(super) ran_count: u32,
    retry_after: Option<Duration>,
    /// Whether the retry for the next attempt was already taken from the budget.
    has_taken_retry: bool,
    /// The software version that began the stream, once it has an event; no other may go on with it.
    pub(super) version: Option<SoftwareVersion>,
    /// The homes by a configuration that is newer than the one by which the request was accepted.
    newer_homes: Option<RequestHomes>,
    /// Whether a silent answer is kept until another one continues its stream.
    pub(super) has_silent_answer: bool,
    /// When a stream that goes on first found no endpoint to do so.
    pub(super) waits_since: Option<Monotonic>,
}

impl Attempts {
    pub(super) fn new(state: Rc<EntryState>, request: Rc<ClientRequest>) -> Self {
        let version = request.forwarded.and_then(|forwarded| forwarded.version);
        Self {
            state,
            request,
            tried: TriedTargets::default(),
            arrived_count: 0,
            ran_count: 0,
            retry_after: None,
            has_taken_retry: false,
            version,
            newer_homes: None,
            has_silent_answer: false,
            waits_since: None,
        }
    }

    /// Sends the request until it has an answer or no retry is allowed.
    pub(super) async fn run(mut self) -> Result<Response<EdgeBody>, Refusal> {
        let mut failed_answer = None;
        if self.request.is_take_up() && self.version.is_none() {
            let version = take_up::find_version(&self.state, &self.request, self.state.now()).await;
            self.version = Some(version.ok_or(Refusal::new(RefusalKind::VersionUnknown))?);
        }
        loop {
            let answer = match self.next_answer(None).await {
                Ok(answer) => answer,
                Err(refusal) => return failed_answer.ok_or(refusal),
            };
            if self.request.route.retry_safety.is_stream() && answer.parts.status.is_success() {
                let response = relay::response(self, answer).await;
                return response.or_else(|refusal| failed_answer.ok_or(refusal));
            }
            let has_failed = answer.parts.status.is_server_error();
            match self.collect(answer).await {
                Ok(response) if !has_failed => return Ok(response),
                Ok(response) => failed_answer = Some(response),
                Err(error) => self.on_failed(&error),
            }
            if !self.can_retry() {
                return failed_answer.ok_or(Refusal::new(RefusalKind::Failed));
            }
        }
    }

    /// Sends the request until the head of an answer arrives.
    pub(super) async fn next_answer(
        &mut self,
        after_event: Option<u64>,
    ) -> Result<Answer, Refusal> {
        loop {
            let now = self.state.now();
            let time_left = self.request.time_left(now);
            if !self.request.is_wanted(now) {
                return Err(self.deadline_refusal());
            }
            if let Some(remaining) = self.state.quarantine_remaining(now, self.request.parts()) {
                return Err(self.quarantine_refusal(remaining));
            }
            if self.ran_count > 0 && self.state.has_repeated_crashes(self.request.fingerprint) {
                return Err(Refusal::new(RefusalKind::Failed));
            }
            self.update_homes();
            let target = match self.choose_again(now) {
                Ok(target) => target,
                Err(refusal) => {
                    self.wait_for_endpoint(now, refusal).await?;
                    continue;
                }
            };
            let takes_retry = self.arrived_count > 0;
            if takes_retry && !self.try_take_retry(now) {
                let refusal = self.endpoints_full_refusal();
                self.wait_for_endpoint(now, refusal).await?;
                continue;
            }
            self.record_target(&target);
            let limits = self.head_limits(time_left);
            let continuation = Continuation {
                after_event,
                version: self.version,
            };
            match self.send(&target, continuation, limits).await {
                Ok(mut answer) => {
                    self.arrived_count += 1;
                    self.ran_count += 1;
                    self.tried.on_ran();
                    self.on_answer(now, &target, &mut answer);
                    return Ok(answer);
                }
                Err(AttemptError::Unreached { has_timed_out }) => {
                    self.has_taken_retry |= takes_retry;
                    self.tried.on_unreached(self.region_vms_max(has_timed_out));
                }
                Err(AttemptError::NotRun {
                    has_arrived,
                    retry_after,
                }) => {
                    self.arrived_count += u32::from(has_arrived);
                    self.retry_after = self.retry_after.max(retry_after);
                    self.has_taken_retry = takes_retry && !has_arrived;
                    if has_arrived && self.waits_since.is_some() {
                        let refusal = self.endpoints_full_refusal();
                        self.wait_for_endpoint(self.state.now(), refusal).await?;
                    }
                }
                Err(AttemptError::Quarantined(remaining)) => {
                    return Err(self.quarantine_refusal(remaining));
                }
                Err(AttemptError::MayHaveRun(error)) => {
                    self.arrived_count += 1;
                    self.ran_count += 1;
                    self.tried.on_ran();
                    if error.is_silence() {
                        self.tried.on_silent(self.tried.last());
                    }
                    self.on_failed(&error);
                    if self.request.time_left(self.state.now()).is_zero() {
                        return Err(Refusal::new(RefusalKind::TimedOut));
                    }
                    if !self.can_retry() {
                        return Err(Refusal::new(RefusalKind::Failed));
                    }
                }
            }
        }
    }

    /// Reads the homes of the request from a newer configuration, if there is one.
    pub(super) fn update_homes(&mut self) {
        let belief = self.state.belief.borrow();
        let newer = belief
            .deployment()
            .filter(|deployment| deployment.version() > self.request.configuration_version);
        self.newer_homes = newer.map(|deployment| RequestHomes::new(&self.request, deployment));
    }

    /// Returns whether the request may be sent to a region.
    pub(super) fn allows(&self, region: RegionKey) -> bool {
        let newer = self.newer_homes.as_ref();
        self.request.allows(region) && newer.is_none_or(|homes| homes.allows(region))
    }

    fn on_answer(&self, sent_at: Monotonic, target: &Target, answer: &mut Answer) {
        let now = self.state.now();
        let latency = now.since(sent_at);
        let connection_age = now.since(answer.running.connection_mut().opened_at);
        self.state.metrics.on_answer(latency);
        log::info!(
            request = &*self.request.head.request_id,
            route = self.request.route.name.as_str(),
            rank = self.request.rank,
            to = target.to_string().as_str(),
            expected_ms = target.expected_ms(),
            latency_ms = latency.as_millis() as u64,
            connection_age_ms = connection_age.as_millis() as u64,
            status = answer.parts.status.as_u16(),
            attempts = self.arrived_count,
            version:? = answer.version.map(|version| version.to_string()),
            configuration = self.state.belief.borrow().version();
            "answered"
        );
    }

    fn on_failed(&self, error: &UpstreamError) {
        self.state.metrics.on_failed_attempt();
        log::info!(
            request = &*self.request.head.request_id,
            request_hash:% = self.request.fingerprint,
            attempts = self.ran_count,
            error:% = error;
            "attempt failed"
        );
    }

    /// Remembers which software version began the stream that this VM passes on to a client.
    pub(super) fn record_version(&self, now: Monotonic) {
        let request = &self.request;
        let is_resumable = request.route.retry_safety == RetrySafety::ResumableStream;
        if request.forwarded.is_some() || !is_resumable {
            return;
        }
        if let (Some(version), Some(stream)) = (self.version, request.stream_key()) {
            let service = &request.service.name;
            self.state.on_stream_event(now, stream, service, version);
        }
    }

    /// Returns whether the request may run again.
    pub(super) fn can_retry(&self) -> bool {
        self.request.route.retry_safety.is_retryable()
            && self.ran_count < self.request.attempts_max()
    }

    fn try_take_retry(&mut self, now: Monotonic) -> bool {
        std::mem::take(&mut self.has_taken_retry)
            || self.state.try_take_retry(now, &self.request.service.name)
    }

    /// Returns whether a silent attempt may be given up for another one, and takes the retry for it.
    pub(super) fn try_leave(&mut self, now: Monotonic) -> bool {
        let parts = self.request.parts();
        if self.state.quarantine_remaining(now, parts).is_some() {
            return false;
        }
        self.update_homes();
        self.has_taken_retry = self.has_alternative(now) && self.try_take_retry(now);
        self.has_taken_retry
    }

    fn head_limits(&self, time_left: Duration) -> SilenceLimits {
        let could_retry = self.request.route.retry_safety.is_retryable()
            && self.ran_count + 1 < self.request.attempts_max();
        SilenceLimits {
            silence_timeout: could_retry.then(|| time_left.mul_f64(RETRYABLE_ATTEMPT_FRACTION)),
            time_left,
        }
    }

    /// Chooses the target of the next attempt; one that was only silent is tried again if no other is
    /// left.
    fn choose_again(&mut self, now: Monotonic) -> Result<Target, Refusal> {
        match self.choose(now) {
            Err(_) if self.tried.forget_silent() => self.choose(now),
            chosen => chosen,
        }
    }

    fn record_target(&mut self, target: &Target) {
        let tried = match target {
            Target::Endpoint { placement, .. } => Some(TriedTarget::Endpoint(placement.endpoint)),
            Target::Vm { ip, .. } => {
                let fleet = self.state.fleet.borrow();
                let row = fleet.known().find(|row| row.ip == *ip);
                let topology = &self.state.settings.topology;
                row.map(|row| match topology.region_of(row.zone) {
                    region if region == self.state.settings.region => TriedTarget::Vm(*ip),
                    region => TriedTarget::RemoteVm { region, ip: *ip },
                })
            }
        };
        if let Some(tried) = tried {
            self.tried.add(tried);
        }
    }

    fn deadline_refusal(&self) -> Refusal {
        Refusal::new(match self.ran_count {
            0 => RefusalKind::TooLate,
            _ => RefusalKind::TimedOut,
        })
    }

    /// Returns the refusal for a request that is quarantined for the `remaining` time.
    const fn quarantine_refusal(&self, remaining: Duration) -> Refusal {
        match self.ran_count {
            0 => Refusal::retry_after(RefusalKind::Quarantined, remaining),
            _ => Refusal::new(RefusalKind::Failed),
        }
    }

    /// Returns the refusal for a request that endpoints refused and that is not sent again.
    fn endpoints_full_refusal(&self) -> Refusal {
        match self.ran_count {
            0 => self.refusal(RefusalKind::EndpointsFull, ENDPOINTS_FULL_RETRY_AFTER),
            _ => Refusal::new(RefusalKind::Failed),
        }
    }

    pub(super) fn refusal(&self, kind: RefusalKind, retry_after: Duration) -> Refusal {
        let time_left = self.request.time_left(self.state.now());
        let retry_after = self.retry_after.unwrap_or(retry_after);
        Refusal::retry_after(kind, retry_after.min(time_left / RETRY_AFTER_DIVISOR))
    }

    /// Reads an answer to its end, so that the request can be retried if the answer is incomplete.
    async fn collect(&self, mut answer: Answer) -> Result<Response<EdgeBody>, UpstreamError> {
        let time_left = self.request.time_left(self.state.now());
        let mut memory = AnswerMemory::new(&self.state);
        let body = match timeout(time_left, read_whole(&mut answer, &mut memory)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                if error.is_broken_off() {
                    answer.running.record_crash(self.request.parts());
                }
                answer.running.record_outcome(AttemptOutcome::Failed);
                return Err(error);
            }
            Err(_) => return Err(UpstreamError::DeadlinePassed),
        };
        let status = answer.parts.status;
        let retry_safety = self.request.route.retry_safety;
        let may_pass = may_pass_status(retry_safety, status, answer.source());
        let fingerprint = self.request.fingerprint;
        answer.running.record_survived(fingerprint, status);
        match status.is_success() {
            true => answer.running.finish(),
            false => answer.running.finish_failed(&self.request.head.request_id),
        }
        if !may_pass {
            return Err(UpstreamError::FalseRefusal(status));
        }
        let mut response = Response::new(whole_answer(body, memory));
        *response.status_mut() = status;
        let mut headers = client_head::client_headers(answer.parts.headers);
        if self.request.forwarded.is_some() {
            forward_headers::set_endpoint_status(&mut headers, status);
        }
        *response.headers_mut() = headers;
        Ok(response)
    }
}

async fn read_whole(
    answer: &mut Answer,
    memory: &mut AnswerMemory,
) -> Result<Bytes, UpstreamError> {
    let mut body = bytes::BytesMut::new();
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(UpstreamError::Broken)?;
        if let Ok(data) = frame.into_data() {
            memory.hold(body.len() + data.len(), WHOLE_ANSWER_MAX_BYTES)?;
            body.extend_from_slice(&data);
        }
    }
    Ok(body.freeze())
}
