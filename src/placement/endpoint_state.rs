//! The state of one endpoint instance, as seen by this VM.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::backlog::Backlog;
use super::brittleness::Brittleness;
use super::endpoint_health::EndpointHealth;
use super::endpoint_notice::EndpointNotice;
use super::known_version::VersionDoubt;
use super::load_estimate::LoadEstimate;
use super::mean_load::MeanLoad;
use super::named_rate::NamedRate;
use super::possible_restart::PossibleRestart;
use super::reported_process::ReportedProcess;
use super::shared_rate::shared_interval;
use super::wait_estimate::WaitEstimate;
use super::AttemptOutcome;
use super::EndpointKey;
use super::NoPlacement;
use super::PlacementQuery;
use super::ProcessSighting;
use super::SharedRate;
use super::SharedRateLimiter;
use super::VersionConstraint;
use crate::clock::Monotonic;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;
use crate::deployment::SoftwareVersion;
use crate::fleet::NameHash;
use crate::fleet::RateShare;
use crate::fleet::RateSharers;
use crate::quarantine::InstanceHash;

/// The smallest number of VMs that share the rate that an endpoint named: it is used also if one of
/// them is gone.
const NAMED_RATE_SENDERS_MIN: usize = 2;

/// The time to confirm a version that is not certain, in milliseconds: often a round trip, at worst an attempt
/// that is given up.
const CONFIRMATION_MS: f64 = 20.0;

/// The state of one endpoint instance, as seen by this VM.
#[derive(Clone, Debug)]
pub struct EndpointState {
    pub(super) record: EndpointRecord,
    pub(super) is_listed: bool,
    pub(super) is_evacuated: bool,
    pub(super) cold_until: Monotonic,
    /// How long the endpoints of the service are cold after their start; zero without a limit.
    pub(super) cold_start: Duration,
    pub(super) possible_restart: PossibleRestart,
    pub(super) sighting: Option<ProcessSighting>,
    pub(super) version_doubt: VersionDoubt,
    pub(super) reported: ReportedProcess,
    pub(super) rate_limiter: SharedRateLimiter,
    pub(super) load: LoadEstimate,
    pub(super) mean_load: MeanLoad,
    pub(super) health: EndpointHealth,
    pub(super) waits: WaitEstimate,
    pub(super) notice: EndpointNotice,
    pub(super) named_rate: NamedRate,
    pub(super) brittleness: Brittleness,
    pub(super) hash: NameHash,
    pub(super) instance_hash: InstanceHash,
}

impl EndpointState {
    pub(super) fn new(now: Monotonic, record: EndpointRecord, notice: EndpointNotice) -> Self {
        Self {
            cold_until: now + record.cold_remaining,
            named_rate: NamedRate::default(),
            brittleness: Brittleness::default(),
            hash: NameHash::from(&record.instance.id),
            instance_hash: InstanceHash::from(&record.instance),
            record,
            is_listed: true,
            is_evacuated: false,
            cold_start: Duration::ZERO,
            possible_restart: PossibleRestart::default(),
            sighting: None,
            version_doubt: VersionDoubt::default(),
            reported: ReportedProcess::default(),
            rate_limiter: SharedRateLimiter::new(now),
            load: LoadEstimate::default(),
            mean_load: MeanLoad::default(),
            health: EndpointHealth::default(),
            waits: WaitEstimate::default(),
            notice,
        }
    }

    /// Returns the record of the endpoint in the last listing.
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns whether new requests may go to the endpoint.
    pub fn takes_requests(&self) -> bool {
        self.is_listed
            && !self.is_evacuated
            && !self.notice.is_leaving()
            && self.record.phase == EndpointPhase::Ready
    }

    /// Returns the version of the endpoint's software by a listing that was confirmed at this time; `None`
    /// if its present process may have another one.
    pub fn software_version(
        &self,
        now: Monotonic,
        listing_confirmed_at: Monotonic,
    ) -> Option<SoftwareVersion> {
        let is_known = !self.possible_restart.is_ended()
            && !self.reported.is_replaced()
            && self.version_doubt.is_resolved(now, listing_confirmed_at);
        self.record.version.filter(|_| is_known)
    }

    /// Returns whether the endpoint takes new requests of a query; its version may have to be confirmed first.
    pub(super) fn takes(&self, now: Monotonic, query: &PlacementQuery<'_>) -> bool {
        let has_version = query.version.is_none_or(|constraint| {
            let is_certain = || self.is_version_certain(now, constraint);
            self.record.version == Some(constraint.version)
                && (self.is_askable(now) || is_certain())
        });
        has_version && self.takes_requests()
    }

    /// Returns the time by which a request waits longer at the endpoint because its version has to be
    /// confirmed, in milliseconds.
    pub(super) fn confirmation_ms(&self, now: Monotonic, query: &PlacementQuery<'_>) -> f64 {
        match query.version {
            Some(constraint) if !self.is_version_certain(now, constraint) => CONFIRMATION_MS,
            _ => 0.0,
        }
    }

    /// Returns whether the process may be asked whether it is the one of the record.
    fn is_askable(&self, now: Monotonic) -> bool {
        self.record.instance.has_start() && self.reported.is_askable(now)
    }

    fn is_version_certain(&self, now: Monotonic, constraint: VersionConstraint) -> bool {
        let version = self.software_version(now, constraint.listing_confirmed_at);
        version == Some(constraint.version)
    }

    /// Returns whether the endpoint is still warming up, or may be.
    pub fn is_cold(&self, now: Monotonic) -> bool {
        self.cold_remaining(now).is_some()
    }

    /// Returns the time after which the endpoint is warm, or `None` if it is.
    fn cold_remaining(&self, now: Monotonic) -> Option<Duration> {
        let after_restart = self.possible_restart.cold_until(self.cold_start);
        let until = after_restart.map_or(self.cold_until, |until| until.max(self.cold_until));
        (now < until).then(|| until.since(now))
    }

    /// Returns for how long this VM may not send a request because of the rate that the VMs of the
    /// region share, or `None` if it may; `share` is that of
    /// [`EndpointTable::choose`](super::EndpointTable::choose).
    pub(super) fn limited_for(
        &mut self,
        now: Monotonic,
        cold_rate_per_s: f64,
        share: impl Fn(u64, RateSharers) -> Option<RateShare>,
    ) -> Option<Duration> {
        let rate_per_s = self.rate_limit_per_s(now, cold_rate_per_s)?;
        let cold_remaining = self.cold_remaining(now).filter(|_| cold_rate_per_s > 0.0);
        let sharers = match cold_remaining {
            Some(_) => RateSharers::Every,
            None => RateSharers::Selected(named_rate_senders(rate_per_s)),
        };
        let Some(share) = share(rendezvous_key(&self.record.instance), sharers) else {
            self.rate_limiter.on_no_share(now);
            // Another VM may take the client's next request.
            return Some(shared_interval(rate_per_s));
        };
        let rate = SharedRate { rate_per_s, share };
        if self.rate_limiter.has_token(now, rate) {
            return None;
        }
        let next_token_in = self.rate_limiter.next_token_in(now, rate);
        Some(cold_remaining.map_or(next_token_in, |remaining| next_token_in.min(remaining)))
    }

    /// Returns the requests per second that the endpoint takes from all VMs together, or `None` if it
    /// is not limited.
    fn rate_limit_per_s(&self, now: Monotonic, cold_rate_per_s: f64) -> Option<f64> {
        let is_limited_as_cold = self.is_cold(now) && cold_rate_per_s > 0.0;
        let cold_rate_per_s = is_limited_as_cold.then_some(cold_rate_per_s);
        match (cold_rate_per_s, self.named_rate.in_force()) {
            (Some(cold), Some(named)) => Some(cold.min(named)),
            (cold, named) => cold.or(named),
        }
    }

    /// Returns whether VMs share a rate of requests to the endpoint.
    pub fn is_limited(&self, now: Monotonic) -> bool {
        self.is_cold(now) || self.named_rate.in_force().is_some()
    }

    /// Returns the mean time between two requests at the rate that the endpoint named, in
    /// milliseconds; zero if it named none.
    pub(super) fn named_interval_ms(&self) -> f64 {
        let rate_per_s = self.named_rate.in_force();
        rate_per_s.map_or(0.0, |rate_per_s| 1_000.0 / rate_per_s)
    }

    pub(super) fn record_outcome(&mut self, now: Monotonic, outcome: AttemptOutcome) {
        self.health.record_outcome(now, outcome);
        if outcome == AttemptOutcome::ConnectionRefused {
            self.on_ended(now, true);
        }
        if outcome == AttemptOutcome::Refused {
            self.brittleness.on_refused(now, self.local_requests());
        }
    }

    /// Returns the number of requests of this VM that are in flight at the endpoint.
    pub const fn local_requests(&self) -> u32 {
        self.load.local_requests()
    }

    /// Returns whether requests wait at the endpoint, or more than half of its slots are taken.
    pub fn is_busy(&self, now: Monotonic) -> bool {
        self.load.total_requests(now) * 2 > self.record.slots
    }

    /// Returns whether the endpoint has reported since a time, and lately, that all of its slots are taken.
    pub fn is_reported_full(&self, now: Monotonic, since: Monotonic) -> bool {
        self.load
            .reported_requests(now, since)
            .is_some_and(|requests| requests >= self.record.slots)
    }

    /// Returns for how long the endpoint is unavailable to a request, or `None` if it is available.
    pub(super) fn unavailable_for(
        &self,
        now: Monotonic,
        key: EndpointKey,
        query: &PlacementQuery<'_>,
    ) -> Option<Duration> {
        let is_full = self.local_requests() >= query.local_requests_max;
        if is_full || query.tried.contains(&key) {
            return Some(NoPlacement::RETRY_AFTER_UNKNOWN);
        }
        let slots = self.record.slots;
        let brittle = self.brittleness.unavailable_for(
            now,
            slots,
            self.local_requests(),
            query.local_vm_count,
        );
        self.backoff(now, query.accepts_avoided).max(brittle)
    }

    /// Returns the longer of the pause that the endpoint asked for and the remaining backoff;
    /// `accepts_avoided` leaves out the backoff after a refusal or a silence.
    pub(super) fn backoff(&self, now: Monotonic, accepts_avoided: bool) -> Option<Duration> {
        let pause = self.notice.pause(now);
        self.health.backoff(now, accepts_avoided).max(pause)
    }

    /// Returns the tokens that the endpoint prefills before those of a new request of a priority.
    ///
    /// `peers` is what other VMs have pending at the endpoint.
    pub(super) fn ahead_tokens(&self, peers: Backlog, priority: u8) -> u64 {
        self.load.local_backlog().ahead_of(priority) + peers.ahead_of(priority)
    }

    /// Returns the expected time to the first event of a request, in milliseconds.
    ///
    /// `queue_ms` is the time to prefill what is pending, `prefill_ms` that for the request.
    pub(super) fn expected_ms(
        &self,
        now: Monotonic,
        queue_ms: f64,
        prefill_ms: f64,
        priority: u8,
    ) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let occupancy = f64::from(self.load.total_requests(now)) / slots;
        let wait_ms = self.waits.wait_ms(now, priority) * (1.0 + occupancy);
        (wait_ms.max(queue_ms) + prefill_ms) * self.health.attempts_per_success()
    }
}

/// Returns the number of VMs that share a rate that an endpoint named: each may send about once a
/// second, so that the buckets of all add little to the rate.
fn named_rate_senders(rate_per_s: f64) -> usize {
    (rate_per_s.ceil() as usize).max(NAMED_RATE_SENDERS_MIN)
}

pub(super) fn rendezvous_key(instance: &InstanceId) -> u64 {
    xxh3_64_with_seed(instance.id.as_str().as_bytes(), instance.started_unix_ms)
}
