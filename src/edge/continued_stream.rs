//! What is done for a stream whose client has events, beyond what is done for one that has not begun.

use std::time::Duration;

use tokio::time::sleep;

use super::attempts::Attempts;
use super::tried_targets::TriedTarget;
use super::Refusal;
use crate::clock::Monotonic;

/// The number of VMs of a region that refuse connections until a request leaves the region out.
const REGION_VMS_MAX: usize = 3;

/// The same for a stream that goes on, which can't go elsewhere.
const CONTINUATION_REGION_VMS_MAX: usize = 8;

/// The longest wait for an endpoint, as a multiple of the route's target for the gap between events.
/// Clients abort at eight times that target at the earliest.
const ENDPOINT_WAIT_GAPS: u32 = 4;

/// The shortest pause before endpoints are tried again; each pause is as long as those before it.
const ENDPOINT_PAUSE_MIN: Duration = Duration::from_millis(200);

impl Attempts {
    /// Returns whether the client has events of the stream already.
    pub(super) fn continues_stream(&self) -> bool {
        self.request.is_take_up() || self.version.is_some()
    }

    /// Returns the number of VMs of a region that are tried if they are not reached; `has_timed_out` is
    /// whether the last one may be behind a link that drops packets, as all of them may be.
    pub(super) fn region_vms_max(&self, has_timed_out: bool) -> usize {
        match (has_timed_out, self.continues_stream()) {
            (true, _) => 1,
            (false, true) => CONTINUATION_REGION_VMS_MAX,
            (false, false) => REGION_VMS_MAX,
        }
    }

    /// Waits before the next attempt to go on with a stream, if an endpoint of its version is listed; after
    /// the wait, those that refused the request are tried again, one in each pause: all share a budget.
    ///
    /// # Errors
    ///
    /// Returns `refusal` if no endpoint can be waited for, or the wait has lasted too long.
    pub(super) async fn wait_for_endpoint(
        &mut self,
        now: Monotonic,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        let Some(pause) = self.endpoint_pause(now) else {
            return Err(refusal);
        };
        log::info!(
            request = &*self.request.head.request_id,
            reason = refusal.kind.as_str(),
            pause_ms = pause.as_millis() as u64;
            "waiting for an endpoint that can go on with the stream"
        );
        self.waits_since.get_or_insert(now);
        sleep(pause).await;
        self.tried.forget_not_run();
        Ok(())
    }

    /// Returns the pause before endpoints are tried again; `None` if they are not.
    fn endpoint_pause(&self, now: Monotonic) -> Option<Duration> {
        let waited = now.since(self.waits_since.unwrap_or(now));
        let wait_max = self.request.route.event_gap * ENDPOINT_WAIT_GAPS;
        let pause = waited
            .max(ENDPOINT_PAUSE_MIN)
            .min(wait_max.saturating_sub(waited));
        let is_in_time = pause < self.request.time_left(now);
        (!pause.is_zero() && is_in_time && self.may_wait()).then_some(pause)
    }

    /// Returns whether an endpoint of the stream's version is listed at which it did not run, and nothing better
    /// than a wait is left: a VM that forwarded the request waits itself, and a silent answer may go on.
    fn may_wait(&self) -> bool {
        if self.version.is_none() || self.request.forwarded.is_some() || self.has_silent_answer {
            return false;
        }
        let service = &self.request.service.name;
        let endpoints = self.state.endpoints.borrow();
        let mut regions = self.state.settings.topology.regions();
        regions.any(|region| {
            let is_served = match region == self.state.settings.region {
                true => endpoints.serves_beside(service, self.version, |key| {
                    self.tried.has_run(TriedTarget::Endpoint(key))
                }),
                false => {
                    !self.tried.has_run_in(region)
                        && endpoints.is_served_in(service, region, self.version)
                }
            };
            is_served && self.allows(region)
        })
    }
}
