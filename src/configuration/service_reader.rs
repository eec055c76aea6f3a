//! Decides when a VM reads the configuration service.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use super::read_slot::ReadOutcome;
use super::read_slot::ReadSlot;
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
/// Two VMs a region watch it; the others read only when they boot and when their peers are silent.
#[derive(Clone, Debug)]
pub(super) struct ServiceReader {
    settings: ConfigurationSettings,
    duty: WatchDuty,
    watch: ReadSlot,
    poll: ReadSlot,
    poll_reason: Option<PollReason>,
    page_end: Option<TicketNumber>,
    cursor: ServiceCursor,
    health: ServiceHealth,
    has_caught_up: bool,
}

/// Whether the VM is one of those that watch the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchDuty {
    Watching,
    Relieved,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PollReason {
    Boot,
    Gap,
    Silence,
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
            duty: WatchDuty::Relieved,
            watch: ReadSlot::default(),
            poll: ReadSlot::default(),
            poll_reason: None,
            page_end: None,
            cursor: ServiceCursor::default(),
            health: ServiceHealth::Unknown,
            has_caught_up: false,
        }
    }

    /// Tells whether the service was read to its end since the process started or came back.
    ///
    /// The service answers in pages, so the end is reached when a poll brings none.
    pub(super) fn has_caught_up(&self) -> bool {
        self.has_caught_up
    }

    /// Asks the service again, as after a start.
    pub(super) fn restart(&mut self) {
        self.has_caught_up = false;
    }

    pub(super) fn set_duty(&mut self, duty: WatchDuty, out: &mut Vec<ConfigurationAction>) {
        if duty == self.duty {
            return;
        }
        self.duty = duty;
        let event = match duty {
            WatchDuty::Watching => AuditEvent::WatchStarted,
            WatchDuty::Relieved => AuditEvent::WatchStopped,
        };
        out.push(ConfigurationAction::Audit(event));
    }

    pub(super) fn tick(
        &mut self,
        now: Monotonic,
        is_gossip_silent: bool,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.cursor.expire_gaps(now);
        self.tick_watch(now, rng, out);
        self.tick_poll(now, is_gossip_silent, rng, out);
    }

    /// Takes the end of a read in.
    pub(super) fn on_answer(
        &mut self,
        now: Monotonic,
        kind: ReadKind,
        numbers: impl Iterator<Item = TicketNumber> + Clone,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.slot(kind).finish(ReadOutcome::Answered);
        let last_of_page = numbers.clone().max();
        self.cursor.observe(now, numbers);
        if kind == ReadKind::Poll {
            self.page_end = last_of_page;
            self.has_caught_up |= last_of_page.is_none();
        }
        if self.health == ServiceHealth::Lost {
            out.push(ConfigurationAction::Audit(AuditEvent::ServiceBack));
        }
        self.health = ServiceHealth::Answering;
    }

    /// Takes the failure of a read in.
    pub(super) fn on_failure(
        &mut self,
        kind: ReadKind,
        reason: String,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.slot(kind).finish(ReadOutcome::Failed);
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
        if self.duty == WatchDuty::Relieved || !self.has_caught_up {
            self.watch.unplan();
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
        is_gossip_silent: bool,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let reason = self.wanted_poll(is_gossip_silent);
        if reason != self.poll_reason {
            self.poll.unplan();
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

    /// Returns where a poll starts or, between two pages, goes on.
    fn poll_after(&self, reason: PollReason) -> TicketNumber {
        match (self.page_end, reason) {
            (Some(page_end), _) => page_end,
            (None, PollReason::Boot) => self.cursor.highest(),
            (None, _) => self.cursor.reread_after(),
        }
    }

    fn wanted_poll(&self, is_gossip_silent: bool) -> Option<PollReason> {
        if !self.has_caught_up {
            return Some(PollReason::Boot);
        }
        if self.cursor.has_gap() {
            return Some(PollReason::Gap);
        }
        match (self.duty, is_gossip_silent) {
            (WatchDuty::Watching, _) => Some(PollReason::Reread),
            (WatchDuty::Relieved, true) => Some(PollReason::Silence),
            (WatchDuty::Relieved, false) => None,
        }
    }

    fn poll_pause(&self, reason: PollReason, rng: &mut impl Rng) -> Duration {
        let shortest = match reason {
            PollReason::Boot => return Duration::ZERO,
            PollReason::Gap => GAP_POLL_PAUSE / 2,
            PollReason::Silence => self.settings.poll_interval,
            PollReason::Reread => REREAD_PAUSE,
        };
        shortest.mul_f64(rng.random_range(1.0..=2.0))
    }

    fn slot(&mut self, kind: ReadKind) -> &mut ReadSlot {
        match kind {
            ReadKind::Watch => &mut self.watch,
            ReadKind::Poll => &mut self.poll,
        }
    }
}
