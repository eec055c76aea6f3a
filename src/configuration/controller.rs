//! The controller of one VM's configuration.

use std::sync::Arc;

use rand::Rng;

use super::boot::Boot;
use super::boot::BOOT_PEERS_MAX;
use super::gossip::Gossip;
use super::peer_choice::PeerChoice;
use super::roster_overlay::RosterOverlay;
use super::service_reader::ServiceReader;
use super::service_reader::WatchRole;
use super::ticket_intake::TicketIntake;
use super::BootOutcome;
use super::ConfigurationAction;
use super::ConfigurationMessage;
use super::ConfigurationSettings;
use super::ConfigurationStore;
use super::MergeOutcome;
use super::ObjectRecord;
use super::ReadKind;
use super::RefusedTicket;
use super::ReplyMode;
use super::RootDigest;
use super::SenderPhase;
use super::Summary;
use super::VmIdentity;
use crate::audit::AuditEvent;
use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::membership::MembershipView;
use crate::publication::PlatformError;
use crate::publication::TicketBatch;

/// Maintains the configuration of one VM: merges tickets, gossips changes and publishes catalogs.
///
/// It is a pure state machine without I/O. Each function appends the actions that it requests to
/// the list that it takes.
#[derive(Clone, Debug)]
pub struct ConfigurationController {
    settings: ConfigurationSettings,
    overlay: RosterOverlay,
    store: ConfigurationStore,
    catalog: Arc<Catalog>,
    dangling: Vec<Name>,
    intake: TicketIntake,
    reader: ServiceReader,
    gossip: Gossip,
    phase: Phase,
    last_tick_at: Monotonic,
}

#[derive(Clone, Debug)]
enum Phase {
    Booting(Boot),
    Ready(BootOutcome),
}

impl ConfigurationController {
    /// Creates a controller that knows the local VM and the seed VMs of the settings.
    pub fn new(
        settings: ConfigurationSettings,
        local_vm: VmIdentity,
        seeds: Vec<VmIdentity>,
        now: Monotonic,
    ) -> Self {
        let mut controller = Self {
            settings,
            overlay: RosterOverlay::new(local_vm, seeds),
            store: ConfigurationStore::default(),
            catalog: Arc::default(),
            dangling: Vec::new(),
            intake: TicketIntake::default(),
            reader: ServiceReader::new(settings),
            gossip: Gossip::new(settings, now),
            phase: Phase::Booting(Boot::new(now, settings.boot_wait)),
            last_tick_at: now,
        };
        controller.rebuild();
        controller
    }

    /// Processes the outcome of a read of the service.
    pub fn on_read(
        &mut self,
        now: Monotonic,
        kind: ReadKind,
        outcome: Result<TicketBatch, PlatformError>,
        out: &mut Vec<ConfigurationAction>,
    ) {
        match outcome {
            Ok(batch) => {
                let numbers = batch.tickets.iter().map(|ticket| ticket.number);
                self.reader.on_success(now, kind, numbers, out);
                let records = self.intake.check(&batch.tickets, &self.store, out);
                self.merge(records, out);
            }
            Err(error) => self.reader.on_failure(kind, error.to_string(), out),
        }
    }

    /// Processes a message from another VM.
    pub fn on_message(
        &mut self,
        now: Monotonic,
        from: VmKey,
        message: ConfigurationMessage,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.gossip.on_message(now);
        match message {
            ConfigurationMessage::Summary(summary) => self.on_summary(now, from, summary, out),
            ConfigurationMessage::Buckets(digest) => {
                self.gossip.on_buckets(from, &digest, &self.store, out);
            }
            ConfigurationMessage::Versions(versions) => {
                self.gossip.on_versions(from, &versions, &self.store, out);
            }
            ConfigurationMessage::Wanted(objects) => {
                self.gossip.on_wanted(from, &objects, &self.store, out);
            }
            ConfigurationMessage::Objects(records) => {
                self.merge(records, out);
            }
        }
    }

    /// Adds a VM that has authenticated with the peer secret and that the roster may not name yet.
    pub fn introduce(
        &mut self,
        now: Monotonic,
        vm: VmIdentity,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let name = vm.name.clone();
        let is_in_roster = self.catalog.vm_named(&name).is_some();
        let is_new = self.overlay.introduce(now, vm);
        if is_new && !is_in_roster {
            out.push(ConfigurationAction::Audit(AuditEvent::VmIntroduced {
                vm: name,
            }));
            self.publish(out);
        }
    }

    /// Performs periodic work; to be called several times per second.
    pub fn tick(
        &mut self,
        now: Monotonic,
        view: &MembershipView,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.detect_pause(now, out);
        self.last_tick_at = now;
        if self.overlay.expire(now) {
            self.publish(out);
        }
        let catalog = Arc::clone(&self.catalog);
        let local_vm = catalog.vm_named(self.overlay.local_name());
        let peers = local_vm.and_then(|local_vm| PeerChoice::new(local_vm, &catalog, view));
        if let Some(peers) = peers {
            self.tick_peers(now, peers, rng, out);
        }
        let has_gossip_timed_out = self.gossip.has_timed_out(now);
        self.reader.tick(now, has_gossip_timed_out, rng, out);
        self.tick_boot(now, out);
    }

    /// Returns the catalog in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog)
    }

    /// Returns the highest ticket in force.
    pub fn ticket_in_force(&self) -> TicketNumber {
        self.store.highest_ticket()
    }

    /// Returns the digest of the state; VMs with equal digests have the same configuration.
    pub fn root(&self) -> RootDigest {
        self.store.digest().root()
    }

    /// Returns whether the VM has learned the configuration and was not paused since its last tick.
    pub fn is_ready(&self, now: Monotonic) -> bool {
        let is_running = now.since(self.last_tick_at) < self.settings.pause_limit;
        is_running && matches!(self.phase, Phase::Ready(_))
    }

    /// Returns how the boot ended, or `None` while the VM is booting.
    pub fn boot_outcome(&self) -> Option<BootOutcome> {
        match &self.phase {
            Phase::Booting(_) => None,
            Phase::Ready(outcome) => Some(*outcome),
        }
    }

    /// Returns the most recently refused tickets, oldest first.
    pub fn refused(&self) -> impl Iterator<Item = &RefusedTicket> {
        self.intake.refused()
    }

    /// Returns the names of objects omitted from the catalog because of dangling references.
    pub fn dangling(&self) -> &[Name] {
        &self.dangling
    }

    /// Returns the merged state.
    pub fn store(&self) -> &ConfigurationStore {
        &self.store
    }

    fn merge(&mut self, records: Vec<ObjectRecord>, out: &mut Vec<ConfigurationAction>) {
        let ticket_before = self.store.highest_ticket();
        let mut changed = Vec::new();
        for record in records {
            let id = record.id.clone();
            if self.store.merge(record) == MergeOutcome::Newer {
                changed.push(id);
            }
        }
        if changed.is_empty() {
            return;
        }
        self.gossip.on_changed(changed.into_iter());
        self.publish(out);
        let ticket = self.store.highest_ticket();
        if ticket > ticket_before {
            out.push(audit(AuditEvent::TicketInForce { ticket }));
        }
    }

    fn publish(&mut self, out: &mut Vec<ConfigurationAction>) {
        self.rebuild();
        out.push(ConfigurationAction::Publish(Arc::clone(&self.catalog)));
    }

    fn rebuild(&mut self) {
        let overlay = self.overlay.objects(&self.store);
        let (catalog, dangling) = self.store.build_catalog_with(&self.catalog, &overlay);
        self.catalog = Arc::new(catalog);
        self.dangling = dangling;
    }

    fn on_summary(
        &mut self,
        now: Monotonic,
        from: VmKey,
        summary: Summary,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let local = self.summary(ReplyMode::NotWanted);
        if summary.reply == ReplyMode::Wanted {
            out.push(ConfigurationAction::Send {
                to: from,
                message: ConfigurationMessage::Summary(local),
            });
        }
        if summary.root == local.root {
            self.on_same_state(from, summary.phase, out);
        } else {
            self.gossip.on_difference(now, from, &self.store, out);
        }
    }

    fn on_same_state(
        &mut self,
        from: VmKey,
        phase: SenderPhase,
        out: &mut Vec<ConfigurationAction>,
    ) {
        match &mut self.phase {
            Phase::Booting(boot) => boot.on_same_state(from, phase),
            Phase::Ready(BootOutcome::WithoutPeers) if phase == SenderPhase::Ready => {
                self.become_ready(BootOutcome::Synchronised { peer_count: 1 }, out);
            }
            Phase::Ready(_) => {}
        }
    }

    fn detect_pause(&mut self, now: Monotonic, out: &mut Vec<ConfigurationAction>) {
        let gap = now.since(self.last_tick_at);
        if gap < self.settings.pause_limit {
            return;
        }
        let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
        out.push(audit(AuditEvent::PauseNoticed { gap_ms }));
        self.phase = Phase::Booting(Boot::new(now, self.settings.boot_wait));
        self.reader.restart();
    }

    fn tick_peers(
        &mut self,
        now: Monotonic,
        peers: PeerChoice<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let role = match peers.is_watcher() {
            true => WatchRole::Watcher,
            false => WatchRole::Standby,
        };
        self.reader.set_role(role, out);
        self.query_peers(now, peers, rng, out);
        if self.gossip.is_summary_due(now) {
            let summary = self.summary(ReplyMode::NotWanted);
            self.gossip.send_summary(now, summary, peers, rng, out);
        }
        self.gossip.push_changes(&self.store, peers, rng, out);
    }

    fn query_peers(
        &mut self,
        now: Monotonic,
        peers: PeerChoice<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let Phase::Booting(boot) = &mut self.phase else {
            return;
        };
        if !boot.is_query_due(now) {
            return;
        }
        let candidates = peers.for_boot(BOOT_PEERS_MAX, rng);
        let queried = boot.query(now, candidates.into_iter());
        let summary = self.summary(ReplyMode::Wanted);
        for to in queried {
            let message = ConfigurationMessage::Summary(summary);
            out.push(ConfigurationAction::Send { to, message });
        }
    }

    fn tick_boot(&mut self, now: Monotonic, out: &mut Vec<ConfigurationAction>) {
        let Phase::Booting(boot) = &self.phase else {
            return;
        };
        let has_configuration = self.reader.has_caught_up() || !self.store.is_empty();
        if let Some(outcome) = boot.outcome(now, has_configuration) {
            self.become_ready(outcome, out);
        }
    }

    fn become_ready(&mut self, outcome: BootOutcome, out: &mut Vec<ConfigurationAction>) {
        self.phase = Phase::Ready(outcome);
        out.push(audit(match outcome {
            BootOutcome::Synchronised { peer_count } => AuditEvent::BootedWithPeers { peer_count },
            BootOutcome::WithoutPeers => AuditEvent::BootedWithoutPeers,
        }));
    }

    fn summary(&self, reply: ReplyMode) -> Summary {
        let phase = match self.phase {
            Phase::Booting(_) => SenderPhase::Booting,
            Phase::Ready(_) => SenderPhase::Ready,
        };
        Summary {
            root: self.store.digest().root(),
            ticket: self.store.highest_ticket(),
            phase,
            reply,
        }
    }
}

fn audit(event: AuditEvent) -> ConfigurationAction {
    ConfigurationAction::Audit(event)
}
