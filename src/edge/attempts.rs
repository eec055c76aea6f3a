//! The attempts of one request, until it has an answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use rand::RngExt;
use tokio::time::timeout;

use super::attempt;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::Target;
use super::client_request::ClientRequest;
use super::edge_body::whole;
use super::relay;
use super::EdgeBody;
use super::Refusal;
use super::RefusalKind;
use super::UpstreamError;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::entry::EntryState;
use crate::fleet::NameHash;
use crate::placement::choose_region;
use crate::placement::refused_for;
use crate::placement::AttemptOutcome;
use crate::placement::EndpointKey;
use crate::placement::NoPlacement;
use crate::placement::OverloadQuery;
use crate::placement::Placement;
use crate::placement::PlacementQuery;
use crate::placement::PromptHome;
use crate::placement::RegionChoice;
use crate::placement::RegionOption;
use crate::placement::PREFILL_MS_PER_TOKEN;

/// The part of the time left that a first attempt may take without a sign of the endpoint, where
/// another attempt can follow.
const FIRST_ATTEMPT_PART: f64 = 0.5;

/// The way to another region and back that is assumed before it was measured.
const ROUND_TRIP_UNKNOWN_MS: f64 = 150.0;

/// The wait in another region that is assumed where its VMs tell none.
const WAIT_UNKNOWN_MS: f64 = 60.0;

/// The time to come back when endpoints refused.
const FULL_RETRY: Duration = Duration::from_millis(500);

/// The part of its time that a client waits before it comes back, at most.
const RETRY_AFTER_PART: u32 = 3;

/// The longest answer that is collected before it is passed on.
const WHOLE_ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The attempts of one request.
pub(super) struct Attempts {
    pub(super) state: Rc<EntryState>,
    pub(super) request: Rc<ClientRequest>,
    tried: Vec<EndpointKey>,
    tried_regions: Vec<RegionKey>,
    arrived_count: u32,
    ran_count: u32,
    retry_after: Option<Duration>,
}

impl Attempts {
    pub(super) const fn new(state: Rc<EntryState>, request: Rc<ClientRequest>) -> Self {
        Self {
            state,
            request,
            tried: Vec::new(),
            tried_regions: Vec::new(),
            arrived_count: 0,
            ran_count: 0,
            retry_after: None,
        }
    }

    /// Sends the request until it has an answer, or nothing more can be tried.
    pub(super) async fn run(mut self) -> Result<Response<EdgeBody>, Refusal> {
        let mut failed_answer = None;
        loop {
            let answer = match self.next_answer(None).await {
                Ok(answer) => answer,
                Err(refusal) => return failed_answer.ok_or(refusal),
            };
            if self.request.route.repetition.is_stream() && answer.parts.status.is_success() {
                return Ok(relay::response(self, answer));
            }
            let has_failed = answer.parts.status.is_server_error();
            match self.collect(answer).await {
                Ok(response) if !has_failed => return Ok(response),
                Ok(response) => failed_answer = Some(response),
                Err(error) => self.on_failed(&error),
            }
            if !self.can_repeat() {
                return failed_answer.ok_or(Refusal::new(RefusalKind::Failed));
            }
        }
    }

    /// Sends the request until the head of an answer comes.
    pub(super) async fn next_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<Answer, Refusal> {
        loop {
            let now = self.state.now();
            let time_left = self.request.time_left(now);
            if time_left.is_zero() {
                return Err(self.out_of_time());
            }
            let target = self.choose(now)?;
            if self.arrived_count > 0 && !self.take_repeat(now) {
                return Err(self.exhausted());
            }
            let patience = self.patience(time_left);
            let (state, request) = (&self.state, &self.request);
            let sent = attempt::send(state, request, &target, resume_after, patience).await;
            self.note_target(&target);
            match sent {
                Ok(answer) => {
                    self.arrived_count += 1;
                    self.ran_count += 1;
                    self.on_answer(now, &target, &answer);
                    return Ok(answer);
                }
                Err(AttemptError::NotRun {
                    has_arrived,
                    retry_after,
                }) => {
                    self.arrived_count += u32::from(has_arrived);
                    self.retry_after = self.retry_after.max(retry_after);
                }
                Err(AttemptError::MayHaveRun(error)) => {
                    self.arrived_count += 1;
                    self.ran_count += 1;
                    self.on_failed(&error);
                    if self.request.time_left(self.state.now()).is_zero() {
                        return Err(Refusal::new(RefusalKind::TimedOut));
                    }
                    if !self.can_repeat() {
                        return Err(Refusal::new(RefusalKind::Failed));
                    }
                }
            }
        }
    }

    fn on_answer(&self, sent_at: Monotonic, target: &Target, answer: &Answer) {
        let latency = self.state.now().since(sent_at);
        self.state.metrics.on_answer(latency);
        log::info!(
            request = &*self.request.head.request_id,
            route = self.request.route.name.as_str(),
            to = target.to_string().as_str(),
            expected_ms = target.expected_ms(),
            latency_ms = latency.as_millis() as u64,
            status = answer.parts.status.as_u16(),
            attempts = self.arrived_count,
            configuration = self.state.belief.borrow().version();
            "answered"
        );
    }

    fn on_failed(&self, error: &UpstreamError) {
        self.state.metrics.on_failed_attempt();
        log::info!(
            request = &*self.request.head.request_id,
            attempts = self.ran_count,
            error:% = error;
            "attempt failed"
        );
    }

    /// Returns whether the request may run once more.
    pub(super) fn can_repeat(&self) -> bool {
        self.request.route.repetition.is_repeatable()
            && self.ran_count < self.request.attempts_max()
    }

    fn take_repeat(&self, now: Monotonic) -> bool {
        self.state.try_take_repeat(now, &self.request.service.name)
    }

    fn patience(&self, time_left: Duration) -> Duration {
        let can_follow = self.request.route.repetition.is_repeatable()
            && self.ran_count + 1 < self.request.attempts_max();
        if can_follow {
            time_left.mul_f64(FIRST_ATTEMPT_PART)
        } else {
            time_left
        }
    }

    fn note_target(&mut self, target: &Target) {
        match target {
            Target::Endpoint { placement, .. } => self.tried.push(placement.endpoint),
            Target::Vm { ip, .. } => {
                let fleet = self.state.fleet.borrow();
                let row = fleet.known().find(|row| row.ip == *ip);
                let topology = &self.state.settings.topology;
                let region = row.map(|row| topology.region_of(row.zone));
                drop(fleet);
                self.tried_regions.extend(region);
            }
        }
    }

    fn out_of_time(&self) -> Refusal {
        Refusal::new(match self.ran_count {
            0 => RefusalKind::TooLate,
            _ => RefusalKind::TimedOut,
        })
    }

    /// Returns the answer when no budget for another attempt is left.
    fn exhausted(&self) -> Refusal {
        match self.ran_count {
            0 => self.refusal(RefusalKind::EndpointsFull, FULL_RETRY),
            _ => Refusal::new(RefusalKind::Failed),
        }
    }

    fn refusal(&self, kind: RefusalKind, retry_after: Duration) -> Refusal {
        let time_left = self.request.time_left(self.state.now());
        let retry_after = self.retry_after.unwrap_or(retry_after);
        Refusal::retry_after(kind, retry_after.min(time_left / RETRY_AFTER_PART))
    }

    /// Chooses where the next attempt goes.
    fn choose(&self, now: Monotonic) -> Result<Target, Refusal> {
        let home = self.prompt_home(now);
        let own = self.own_placement(now, home);
        let own_ms = own.as_ref().ok().map(|placement| placement.expected_ms);
        let target_ms = milliseconds(self.request.route.target_latency);
        let others = self.other_regions(now, home);
        let draw = self.state.rng.borrow_mut().random();
        match (choose_region(own_ms, others, target_ms, draw), own) {
            (RegionChoice::Own, Ok(placement)) => {
                self.check_overload(&placement, target_ms)?;
                Ok(self.endpoint(placement, home))
            }
            (RegionChoice::Other(region), _) => self.vm_of(now, region),
            (_, Err(reason)) => Err(self.none(reason)),
            (RegionChoice::None, Ok(_)) => Err(self.none(NoPlacement::NoneListed)),
        }
    }

    fn check_overload(&self, placement: &Placement, target_ms: f64) -> Result<(), Refusal> {
        if self.ran_count > 0 {
            return Ok(());
        }
        let query = OverloadQuery {
            expected_ms: placement.expected_ms,
            target_ms,
            is_busy: placement.is_busy,
        };
        match refused_for(&query) {
            None => Ok(()),
            Some(retry_after) => Err(self.refusal(RefusalKind::Overloaded, retry_after)),
        }
    }

    /// Returns the endpoint that keeps the shared part of the prompt.
    ///
    /// Parts that take longer to prefill than to reach are kept once for all regions, others once
    /// in each region.
    fn prompt_home(&self, now: Monotonic) -> Option<PromptHome> {
        let part_hash = self.request.head.first_part_hash?;
        let prefill_ms = self.request.head.shared_tokens as f64 * PREFILL_MS_PER_TOKEN;
        let is_shared_widely = prefill_ms > ROUND_TRIP_UNKNOWN_MS;
        let endpoints = self.state.endpoints.borrow();
        let fleet = self.state.fleet.borrow();
        endpoints.prompt_home(now, &self.request.service.name, part_hash, |region| {
            is_shared_widely
                && self.request.allows(region)
                && !fleet.ready_in(now, region).is_empty()
        })
    }

    fn none(&self, reason: NoPlacement) -> Refusal {
        if self.ran_count > 0 {
            return Refusal::new(RefusalKind::Failed);
        }
        log::info!(
            request = &*self.request.head.request_id,
            service = self.request.service.name.as_str(),
            route = self.request.route.name.as_str(),
            reason:? = reason,
            tried = self.tried.len(),
            tried_regions = self.tried_regions.len();
            "no endpoint"
        );
        self.refusal(RefusalKind::NoEndpoint, reason.retry_after())
    }

    fn query(&self, home: Option<PromptHome>) -> PlacementQuery<'_> {
        PlacementQuery {
            service: &self.request.service.name,
            prompt_tokens: self.request.head.prompt_tokens,
            shared_tokens: self.request.head.shared_tokens,
            cached_at: home.and_then(PromptHome::own),
            rank: self.request.priority(),
            tried: &self.tried,
        }
    }

    fn own_placement(
        &self,
        now: Monotonic,
        home: Option<PromptHome>,
    ) -> Result<Placement, NoPlacement> {
        if !self.request.allows(self.state.settings.region) {
            return Err(NoPlacement::NoneListed);
        }
        let query = self.query(home);
        let fleet = self.state.fleet.borrow();
        let cold_rate_per_s = self.request.service.cold_rate_per_s;
        let mut endpoints = self.state.endpoints.borrow_mut();
        endpoints.choose(now, &query, cold_rate_per_s, |duty, count| {
            fleet.has_duty(now, duty, count)
        })
    }

    fn endpoint(&self, placement: Placement, home: Option<PromptHome>) -> Target {
        let endpoints = self.state.endpoints.borrow();
        let record = endpoints
            .get(placement.endpoint)
            .map(|state| state.record())
            .expect("the endpoint was just chosen");
        Target::Endpoint {
            placement,
            address: record.address,
            instance: record.instance.id.clone(),
            copy_prompt_from: home
                .and_then(PromptHome::own)
                .filter(|key| *key != placement.endpoint && self.request.head.shared_tokens > 0)
                .and_then(|key| endpoints.get(key))
                .map(|state| state.record().address),
        }
    }

    fn other_regions(&self, now: Monotonic, home: Option<PromptHome>) -> Vec<RegionOption> {
        if self.request.hop.is_some() {
            return Vec::new();
        }
        let topology = &self.state.settings.topology;
        let endpoints = self.state.endpoints.borrow();
        let others = topology.regions().filter(|region| {
            *region != self.state.settings.region
                && self.request.allows(*region)
                && !self.tried_regions.contains(region)
                && endpoints.serves_elsewhere(&self.request.service.name, *region)
        });
        let fleet = self.state.fleet.borrow();
        let mut rng = self.state.rng.borrow_mut();
        let service = NameHash::from(&self.request.service.name);
        let options = others.filter_map(|region| {
            let (_, round_trip_ms) = fleet.gateway_to(now, region, &mut *rng)?;
            let wait_ms = fleet.wait_in(now, region, service);
            let has_prompt = home == Some(PromptHome::Other(region));
            let prefill_tokens = self.query(home).prefill_tokens(has_prompt);
            Some(RegionOption {
                region,
                expected_ms: round_trip_ms.unwrap_or(ROUND_TRIP_UNKNOWN_MS)
                    + wait_ms.map_or(WAIT_UNKNOWN_MS, f64::from)
                    + prefill_tokens as f64 * PREFILL_MS_PER_TOKEN,
                has_prompt,
            })
        });
        options.collect()
    }

    fn vm_of(&self, now: Monotonic, region: RegionKey) -> Result<Target, Refusal> {
        let fleet = self.state.fleet.borrow();
        let mut rng = self.state.rng.borrow_mut();
        let (ip, _) = fleet
            .gateway_to(now, region, &mut *rng)
            .ok_or_else(|| self.none(NoPlacement::NoneListed))?;
        // One attempt is kept for the case that the VM is lost on the way.
        let left = self.request.attempts_max().saturating_sub(self.ran_count);
        Ok(Target::Vm {
            ip,
            attempts_max: left.saturating_sub(1).max(1),
        })
    }

    /// Reads an answer to its end, so that a broken one can be repeated.
    async fn collect(&self, mut answer: Answer) -> Result<Response<EdgeBody>, UpstreamError> {
        let time_left = self.request.time_left(self.state.now());
        let body = match timeout(time_left, read_whole(&mut answer)).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                answer.running.note(AttemptOutcome::Failed);
                return Err(error);
            }
            Err(_) => return Err(UpstreamError::DeadlinePassed),
        };
        answer.running.finish();
        let mut response = Response::new(whole(body));
        *response.status_mut() = relay::client_status(&self.request, answer.parts.status);
        *response.headers_mut() = relay::client_headers(answer.parts.headers);
        Ok(response)
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

async fn read_whole(answer: &mut Answer) -> Result<Bytes, UpstreamError> {
    let mut body = bytes::BytesMut::new();
    while let Some(frame) = answer.body.frame().await {
        let frame = frame.map_err(UpstreamError::Broken)?;
        if let Ok(data) = frame.into_data() {
            if body.len() + data.len() > WHOLE_ANSWER_MAX_BYTES {
                return Err(UpstreamError::TooLong(WHOLE_ANSWER_MAX_BYTES));
            }
            body.extend_from_slice(&data);
        }
    }
    Ok(body.freeze())
}
