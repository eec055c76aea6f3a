//! The control decisions of one VM, as a state machine without I/O.

use std::sync::Arc;

use rand::rngs::SmallRng;

use super::CoreAction;
use super::CoreEvent;
use super::CoreSettings;
use crate::audit::AuditEvent;
use crate::catalog::Catalog;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::configuration::ConfigurationAction;
use crate::configuration::ConfigurationController;
use crate::idempotency::IdempotencyAction;
use crate::idempotency::IdempotencyController;
use crate::limits::LimitsAction;
use crate::limits::LimitsController;
use crate::membership::Incarnation;
use crate::membership::Liveness;
use crate::membership::Membership;
use crate::membership::MembershipAction;
use crate::membership::MembershipView;
use crate::membership::VmStatus;
use crate::peer::PeerMessage;

/// The control decisions of one VM, as a state machine without I/O and without a clock.
///
/// It takes events with their time and returns actions. The daemon drives it from its control
/// loop, tests drive it in virtual time.
#[derive(Debug)]
pub struct Core {
    local_vm: VmKey,
    rng: SmallRng,
    catalog: Arc<Catalog>,
    view: Arc<MembershipView>,
    configuration: ConfigurationController,
    membership: Membership,
    limits: LimitsController,
    idempotency: IdempotencyController,
    is_leaving: bool,
    was_ready: bool,
}

impl Core {
    /// Creates the core of a VM that starts at `now`.
    ///
    /// `incarnation` should be larger than those of earlier processes of the VM; `boot` is a
    /// random number that distinguishes this process from earlier ones.
    ///
    /// # Panics
    ///
    /// Panics if the initial catalog does not contain the local VM.
    pub fn new(
        now: Monotonic,
        settings: CoreSettings,
        incarnation: Incarnation,
        boot: u64,
        rng: SmallRng,
    ) -> Self {
        let name = settings.local_vm.name.clone();
        let configuration = ConfigurationController::new(
            settings.configuration,
            settings.local_vm,
            settings.seeds,
            now,
        );
        let catalog = configuration.catalog();
        let local_vm = catalog
            .vm_named(&name)
            .expect("the initial catalog contains the local VM");
        let membership = Membership::new(settings.membership, local_vm, incarnation, now);
        let view = Arc::new(membership.view(now, &catalog));
        let idempotency = IdempotencyController::new(
            now,
            local_vm,
            boot,
            settings.idempotency,
            Arc::clone(&catalog),
        );
        Self {
            local_vm,
            rng,
            view,
            configuration,
            membership,
            limits: LimitsController::new(settings.limits, local_vm, incarnation, now),
            idempotency,
            catalog,
            is_leaving: false,
            was_ready: false,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Monotonic, event: CoreEvent, out: &mut Vec<CoreAction>) {
        match event {
            CoreEvent::Tick { load_permille } => self.tick(now, load_permille, out),
            CoreEvent::Peer { from, message } => self.on_peer(now, from, message, out),
            CoreEvent::ServiceRead { kind, outcome } => {
                let mut actions = Vec::new();
                self.configuration.on_read(now, kind, outcome, &mut actions);
                self.on_configuration(now, actions, out);
            }
            CoreEvent::VmList(list) => self.membership.on_vm_list(&self.catalog, &list),
            CoreEvent::TokensRequested { account, tokens } => {
                self.request_tokens(now, account, tokens, out);
            }
            CoreEvent::BeginCall(call) => {
                let mut actions = Vec::new();
                self.idempotency.begin(now, &self.view, &call, &mut actions);
                self.on_idempotency(actions, out);
            }
            CoreEvent::FinishCall { id, outcome } => {
                let mut actions = Vec::new();
                self.idempotency.finish(now, id, outcome, &mut actions);
                self.on_idempotency(actions, out);
            }
            CoreEvent::DrainStarted => self.is_leaving = true,
        }
    }

    /// Returns the key of the local VM.
    pub const fn local_vm(&self) -> VmKey {
        self.local_vm
    }

    /// Returns the catalog of the configuration in force.
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.catalog)
    }

    /// Returns the latest view of the VMs.
    pub fn view(&self) -> Arc<MembershipView> {
        Arc::clone(&self.view)
    }

    /// Returns the configuration controller.
    pub const fn configuration(&self) -> &ConfigurationController {
        &self.configuration
    }

    /// Returns whether the VM is ready to keep records of non-idempotent calls for other VMs.
    pub fn is_synced(&self) -> bool {
        self.idempotency.is_synced()
    }

    fn tick(&mut self, now: Monotonic, load_permille: u32, out: &mut Vec<CoreAction>) {
        self.tick_membership(now, load_permille, out);
        let mut actions = Vec::new();
        self.configuration
            .tick(now, &self.view, &mut self.rng, &mut actions);
        self.on_configuration(now, actions, out);
        let mut actions = Vec::new();
        self.limits
            .tick(now, &self.catalog, &self.view, &mut actions);
        self.on_limits(actions, out);
        let mut actions = Vec::new();
        self.idempotency.tick(now, &self.view, &mut actions);
        self.on_idempotency(actions, out);
        self.check_ready(now, out);
    }

    fn tick_membership(&mut self, now: Monotonic, load_permille: u32, out: &mut Vec<CoreAction>) {
        let status = VmStatus {
            is_leaving: self.is_leaving,
            load_permille,
            ticket_in_force: self.configuration.ticket_in_force(),
        };
        let mut actions = Vec::new();
        self.membership
            .tick(now, &self.catalog, status, &mut self.rng, &mut actions);
        self.on_membership(actions, out);
        self.view = Arc::new(self.membership.view(now, &self.catalog));
        out.push(CoreAction::PublishView(Arc::clone(&self.view)));
    }

    fn on_peer(
        &mut self,
        now: Monotonic,
        from: VmKey,
        message: PeerMessage,
        out: &mut Vec<CoreAction>,
    ) {
        match message {
            PeerMessage::Membership(message) => {
                let mut actions = Vec::new();
                self.membership
                    .on_message(now, &self.catalog, from, message, &mut actions);
                self.on_membership(actions, out);
            }
            PeerMessage::Configuration(message) => {
                let mut actions = Vec::new();
                self.configuration
                    .on_message(now, from, message, &mut actions);
                self.on_configuration(now, actions, out);
            }
            PeerMessage::Limits(message) => {
                let mut actions = Vec::new();
                self.limits
                    .on_message(now, &self.catalog, &self.view, from, message, &mut actions);
                self.on_limits(actions, out);
            }
            PeerMessage::Idempotency(message) => {
                let mut actions = Vec::new();
                self.idempotency
                    .on_message(now, &self.view, from, message, &mut actions);
                self.on_idempotency(actions, out);
            }
        }
    }

    fn request_tokens(
        &mut self,
        now: Monotonic,
        account: ClientAccountKey,
        tokens: u64,
        out: &mut Vec<CoreAction>,
    ) {
        let mut actions = Vec::new();
        self.limits.request_tokens(
            now,
            &self.catalog,
            &self.view,
            account,
            tokens,
            &mut actions,
        );
        self.on_limits(actions, out);
    }

    fn on_membership(&mut self, actions: Vec<MembershipAction>, out: &mut Vec<CoreAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => out.push(CoreAction::Send {
                    to,
                    message: PeerMessage::Membership(message),
                }),
                MembershipAction::Paused { incarnation } => self.limits.on_paused(incarnation),
                MembershipAction::LivenessChanged { vm, liveness } => {
                    self.audit_liveness(vm, liveness, out);
                }
            }
        }
    }

    fn audit_liveness(&self, vm: VmKey, liveness: Liveness, out: &mut Vec<CoreAction>) {
        let Some(vm) = self.catalog.vms.get(vm) else {
            return;
        };
        let vm = vm.name.clone();
        let event = match liveness {
            Liveness::Dead => AuditEvent::VmLost { vm },
            Liveness::Alive => AuditEvent::VmBack { vm },
            Liveness::Unknown | Liveness::Suspected => return,
        };
        out.push(CoreAction::Audit(event));
    }

    fn on_configuration(
        &mut self,
        now: Monotonic,
        actions: Vec<ConfigurationAction>,
        out: &mut Vec<CoreAction>,
    ) {
        for action in actions {
            match action {
                ConfigurationAction::Send { to, message } => out.push(CoreAction::Send {
                    to,
                    message: PeerMessage::Configuration(message),
                }),
                ConfigurationAction::Publish(catalog) => self.apply_catalog(now, catalog, out),
                ConfigurationAction::Read(read) => out.push(CoreAction::ReadService(read)),
                ConfigurationAction::Audit(event) => out.push(CoreAction::Audit(event)),
            }
        }
    }

    fn apply_catalog(&mut self, now: Monotonic, catalog: Arc<Catalog>, out: &mut Vec<CoreAction>) {
        self.catalog = Arc::clone(&catalog);
        self.view = Arc::new(self.membership.view(now, &catalog));
        self.idempotency.on_catalog(now, Arc::clone(&catalog));
        out.push(CoreAction::PublishCatalog(catalog));
        out.push(CoreAction::PublishView(Arc::clone(&self.view)));
    }

    fn on_limits(&mut self, actions: Vec<LimitsAction>, out: &mut Vec<CoreAction>) {
        for action in actions {
            match action {
                LimitsAction::Send { to, message } => out.push(CoreAction::Send {
                    to,
                    message: PeerMessage::Limits(message),
                }),
                LimitsAction::TokensArrived { account } => {
                    out.push(CoreAction::TokensArrived(account));
                }
                LimitsAction::TokensDenied { account, reason } => {
                    out.push(CoreAction::TokensDenied { account, reason });
                }
                LimitsAction::LeaseAcquired { shards } => {
                    let shard_count = shards.iter().count();
                    out.push(CoreAction::Audit(AuditEvent::LeaseAcquired { shard_count }));
                }
                LimitsAction::LeaseLost { shards } => {
                    let shard_count = shards.iter().count();
                    out.push(CoreAction::Audit(AuditEvent::LeaseLost { shard_count }));
                }
                LimitsAction::PoolsChanged => {
                    out.push(CoreAction::PublishPools(self.limits.pools()));
                }
            }
        }
    }

    fn on_idempotency(&mut self, actions: Vec<IdempotencyAction>, out: &mut Vec<CoreAction>) {
        for action in actions {
            out.push(match action {
                IdempotencyAction::Send { to, message } => CoreAction::Send {
                    to,
                    message: PeerMessage::Idempotency(message),
                },
                IdempotencyAction::Proceed { id } => CoreAction::Proceed(id),
                IdempotencyAction::Answer { id, answer } => CoreAction::AnswerCall { id, answer },
            });
        }
    }

    fn check_ready(&mut self, now: Monotonic, out: &mut Vec<CoreAction>) {
        if self.was_ready || !self.configuration.is_ready(now) {
            return;
        }
        self.was_ready = true;
        out.push(CoreAction::Ready);
    }
}
