//! Decides when a VM reads the configuration service.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::read_schedule::ReadOutcome;
use super::read_schedule::ReadSchedule;
use super::service_cursor::ServiceCursor;
use super::ConfigurationAction;
use super::ConfigurationSettings;
use super::ReadKind;
use super::ServiceRead;
use crate::audit::AuditEvent;
use crate::catalog::TicketNumber;
use crate::clock::Monotonic;

const WATCH_PAUSE: Duration = Duration::from_millis(200);
const GAP_POLL_PAUSE: Duration = Duration::from_secs(2);
const REREAD_PAUSE: Duration = Duration::from_secs(30);

/// Decides when a VM reads the configuration service.
///
/// Two VMs of each region watch it; the others read only when they boot and when no gossip arrives.
#[derive(Clone, Debug)]
pub(super) struct ServiceReader {
    settings: ConfigurationSettings,
    role: WatchRole,
    watch: ReadSchedule,
    poll: ReadSchedule,
    poll_reason: Option<PollReason>,
    page_end: Option<TicketNumber>,
    cursor: ServiceCursor,
    health: ServiceHealth,
    has_caught_up: bool,
}

/// Whether the local VM is one of those that watch the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchRole {
    Watcher,
    Standby,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollReason {
    Boot,
    Gap,
    GossipTimeout,
    Reread,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServiceHealth {
    Unknown,
    Answering,
    Lost,
}

impl ServiceReader {
    pub(super) fn new(settings: ConfigurationSettings) -> Self {
        Self {
            settings,
            role: WatchRole::Standby,
            watch: ReadSchedule::default(),
            poll: ReadSchedule::default(),
            poll_reason: None,
            page_end: None,
            cursor: ServiceCursor::default(),
            health: ServiceHealth::Unknown,
            has_caught_up: false,
        }
    }

    /// Returns whether the service was read to its end since the process started or resumed.
    ///
    /// The service returns pages of tickets; an empty page marks the end.
    pub(super) fn has_caught_up(&self) -> bool {
        self.has_caught_up
    }

    /// Polls the service to its end again, as after a start.
    pub(super) fn restart(&mut self) {
        self.has_caught_up = false;
    }

    pub(super) fn set_role(&mut self, role: WatchRole, out: &mut Vec<ConfigurationAction>) {
        if role == self.role {
            return;
        }
        self.role = role;
        let event = match role {
            WatchRole::Watcher => AuditEvent::WatchStarted,
            WatchRole::Standby => AuditEvent::WatchStopped,
        };
        out.push(ConfigurationAction::Audit(event));
    }

    pub(super) fn tick(
        &mut self,
        now: Monotonic,
        has_gossip_timed_out: bool,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.cursor.expire_gaps(now);
        self.tick_watch(now, rng, out);
        self.tick_poll(now, has_gossip_timed_out, rng, out);
    }

    /// Processes a successful read.
    pub(super) fn on_success(
        &mut self,
        now: Monotonic,
        kind: ReadKind,
        numbers: impl Iterator<Item = TicketNumber> + Clone,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.schedule(kind).finish(ReadOutcome::Succeeded);
        let page_end = numbers.clone().max();
        self.cursor.observe(now, numbers);
        if kind == ReadKind::Poll {
            self.page_end = page_end;
            self.has_caught_up |= page_end.is_none();
        }
        if self.health == ServiceHealth::Lost {
            out.push(ConfigurationAction::Audit(AuditEvent::ServiceBack));
        }
        self.health = ServiceHealth::Answering;
    }

    /// Processes a failed read.
    pub(super) fn on_failure(
        &mut self,
        kind: ReadKind,
        reason: String,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.schedule(kind).finish(ReadOutcome::Failed);
        if self.health != ServiceHealth::Lost {
            let event = AuditEvent::ServiceLost { reason };
            out.push(ConfigurationAction::Audit(event));
            self.health = ServiceHealth::Lost;
        }
    }

    fn tick_watch(
        &mut self,
        now: Monotonic,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        if self.role == WatchRole::Standby || !self.has_caught_up {
            self.watch.cancel();
            return;
        }
        if !self.watch.is_due(now, WATCH_PAUSE, rng) {
            return;
        }
        let wait = self.settings.watch_wait;
        self.watch.start(now, wait);
        out.push(ConfigurationAction::Read(ServiceRead {
            kind: ReadKind::Watch,
            after: self.cursor.highest(),
            wait,
        }));
    }

    fn tick_poll(
        &mut self,
        now: Monotonic,
        has_gossip_timed_out: bool,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let reason = self.next_poll_reason(has_gossip_timed_out);
        if reason != self.poll_reason {
            self.poll.cancel();
            self.poll_reason = reason;
            self.page_end = None;
        }
        let Some(reason) = reason else {
            return;
        };
        let pause = match self.page_end {
            Some(_) => Duration::ZERO,
            None => self.poll_pause(reason, rng),
        };
        if !self.poll.is_due(now, pause, rng) {
            return;
        }
        self.poll.start(now, Duration::ZERO);
        out.push(ConfigurationAction::Read(ServiceRead {
            kind: ReadKind::Poll,
            after: self.poll_after(reason),
            wait: Duration::ZERO,
        }));
    }

    /// Returns the ticket after which a poll starts or, between two pages, continues.
    fn poll_after(&self, reason: PollReason) -> TicketNumber {
        match (self.page_end, reason) {
            (Some(page_end), _) => page_end,
            (None, PollReason::Boot) => self.cursor.highest(),
            (None, _) => self.cursor.reread_after(),
        }
    }

    fn next_poll_reason(&self, has_gossip_timed_out: bool) -> Option<PollReason> {
        if !self.has_caught_up {
            return Some(PollReason::Boot);
        }
        if self.cursor.has_gap() {
            return Some(PollReason::Gap);
        }
        match (self.role, has_gossip_timed_out) {
            (WatchRole::Watcher, _) => Some(PollReason::Reread),
            (WatchRole::Standby, true) => Some(PollReason::GossipTimeout),
            (WatchRole::Standby, false) => None,
        }
    }

    fn poll_pause(&self, reason: PollReason, rng: &mut impl Rng) -> Duration {
        let min = match reason {
            PollReason::Boot => return Duration::ZERO,
            PollReason::Gap => GAP_POLL_PAUSE / 2,
            PollReason::GossipTimeout => self.settings.poll_interval,
            PollReason::Reread => REREAD_PAUSE,
        };
        min.mul_f64(rng.random_range(1.0..=2.0))
    }

    fn schedule(&mut self, kind: ReadKind) -> &mut ReadSchedule {
        match kind {
            ReadKind::Watch => &mut self.watch,
            ReadKind::Poll => &mut self.poll,
        }
    }
}
