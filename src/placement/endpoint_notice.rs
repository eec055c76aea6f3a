//! What an endpoint asked of this VM in its answers.

use std::collections::HashMap;
use std::time::Duration;

use crate::clock::Monotonic;
use crate::deployment::InstanceId;

/// How long a notice is kept after the last one of its endpoint, unless it holds for longer: more
/// than a backup of the store is old, from which an endpoint that left could be listed again.
const RETENTION: Duration = Duration::from_secs(600);

/// What an endpoint asked of this VM. It binds the VM as long as the instance runs, whatever the
/// store or other VMs say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EndpointNotice {
    is_leaving: bool,
    paused_until: Option<Monotonic>,
}

impl EndpointNotice {
    /// Returns whether the endpoint announced that it is about to stop.
    pub(super) const fn is_leaving(self) -> bool {
        self.is_leaving
    }

    /// Returns for how long the endpoint wants no request, or `None` if it takes them.
    pub(super) fn pause(self, now: Monotonic) -> Option<Duration> {
        self.paused_until
            .filter(|until| now < *until)
            .map(|until| until.since(now))
    }

    fn is_expired(self, now: Monotonic, noted_at: Monotonic) -> bool {
        self.pause(now).is_none() && now.since(noted_at) > RETENTION
    }
}

/// The notices of all instances; they outlive the listing of their endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointNotices {
    by_instance: HashMap<InstanceId, (EndpointNotice, Monotonic)>,
}

impl EndpointNotices {
    /// Returns the notice of an instance.
    pub(super) fn get(&self, instance: &InstanceId) -> EndpointNotice {
        self.by_instance
            .get(instance)
            .map(|(notice, _)| *notice)
            .unwrap_or_default()
    }

    /// Records that an endpoint is about to stop.
    pub(super) fn on_leaving(&mut self, now: Monotonic, instance: &InstanceId) -> EndpointNotice {
        self.change(now, instance, |notice| notice.is_leaving = true)
    }

    /// Records that an endpoint wants no request for a time; an earlier notice that ends later
    /// stays in force.
    pub(super) fn on_pause(
        &mut self,
        now: Monotonic,
        instance: &InstanceId,
        pause: Duration,
    ) -> EndpointNotice {
        self.change(now, instance, |notice| {
            notice.paused_until = notice.paused_until.max(Some(now + pause));
        })
    }

    /// Removes notices that no longer bind this VM.
    pub(super) fn remove_expired(&mut self, now: Monotonic) {
        self.by_instance
            .retain(|_, (notice, noted_at)| !notice.is_expired(now, *noted_at));
    }

    fn change(
        &mut self,
        now: Monotonic,
        instance: &InstanceId,
        change: impl FnOnce(&mut EndpointNotice),
    ) -> EndpointNotice {
        let (notice, noted_at) = self.by_instance.entry(instance.clone()).or_default();
        change(notice);
        *noted_at = now;
        *notice
    }
}
