//! One VM of a fleet.

use std::collections::HashMap;
use std::sync::Arc;

use figramp::catalog::Catalog;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::VmKey;
use figramp::clock::Monotonic;
use figramp::limits::LimitsAction;
use figramp::limits::LimitsController;
use figramp::limits::LimitsSettings;
use figramp::limits::Reservation;
use figramp::membership::Incarnation;
use figramp::membership::Membership;
use figramp::membership::MembershipAction;
use figramp::membership::MembershipSettings;
use figramp::membership::MembershipView;
use figramp::membership::VmStatus;
use rand::rngs::StdRng;

use super::events::Message;
use super::events::Waiter;

/// A request: what it reserves, what it uses, and how long it runs.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub account: usize,
    pub key: ClientAccountKey,
    pub reserved_tokens: u64,
    pub used_tokens: u64,
    pub run_us: u64,
    pub is_admitted_by_ideal: bool,
    pub arrived_us: u64,
}

/// A running request.
#[derive(Debug)]
pub struct Run {
    pub request: Request,
    pub reservation: Reservation,
}

/// What a VM asks the fleet to do.
#[derive(Debug)]
pub enum Effect {
    Send { to: VmKey, message: Message },
    Arrived(ClientAccountKey),
    Denied(ClientAccountKey),
}

/// One VM of a fleet; it is replaced as a whole when its process restarts.
#[derive(Debug)]
pub struct FleetVm {
    pub key: VmKey,
    pub process: u64,
    pub paused_until_us: u64,
    pub catalog: Arc<Catalog>,
    pub waiters: Vec<Waiter>,
    pub runs: HashMap<usize, Run>,
    pub limits: LimitsController,
    pub membership: Membership,
    pub view: MembershipView,
    pub is_leaving: bool,
    boot_us: u64,
}

impl FleetVm {
    pub fn boot(
        now_us: u64,
        key: VmKey,
        process: u64,
        catalog: &Arc<Catalog>,
        settings: &LimitsSettings,
    ) -> Self {
        let incarnation = Incarnation(process << 20);
        let now = Monotonic::from_us(1);
        let membership = Membership::new(MembershipSettings::default(), key, incarnation, now);
        let view = membership.view(now, catalog);
        Self {
            key,
            process,
            paused_until_us: 0,
            catalog: Arc::clone(catalog),
            waiters: Vec::new(),
            runs: HashMap::new(),
            limits: LimitsController::new(settings.clone(), key, incarnation, now),
            membership,
            view,
            is_leaving: false,
            boot_us: now_us,
        }
    }

    /// Returns the time by the clock of the VM, which starts with the process.
    pub fn now(&self, now_us: u64) -> Monotonic {
        Monotonic::from_us(1 + now_us - self.boot_us)
    }

    pub fn tick(&mut self, now_us: u64, rng: &mut StdRng) -> Vec<Effect> {
        let now = self.now(now_us);
        let status = VmStatus {
            is_leaving: self.is_leaving,
            ..VmStatus::default()
        };
        let mut actions = Vec::new();
        self.membership
            .tick(now, &self.catalog, status, rng, &mut actions);
        let mut effects = self.after_membership(actions);
        self.view = self.membership.view(now, &self.catalog);
        let mut actions = Vec::new();
        self.limits
            .tick(now, &self.catalog, &self.view, &mut actions);
        effects.extend(effects_of(actions));
        effects
    }

    pub fn deliver(&mut self, now_us: u64, from: VmKey, message: Message) -> Vec<Effect> {
        let now = self.now(now_us);
        match message {
            Message::Membership(message) => {
                let mut actions = Vec::new();
                self.membership
                    .on_message(now, &self.catalog, from, message, &mut actions);
                self.after_membership(actions)
            }
            Message::Limits(message) => {
                let mut actions = Vec::new();
                self.limits
                    .on_message(now, &self.catalog, &self.view, from, message, &mut actions);
                effects_of(actions)
            }
        }
    }

    pub fn request_tokens(
        &mut self,
        now_us: u64,
        account: ClientAccountKey,
        tokens: u64,
    ) -> Vec<Effect> {
        let now = self.now(now_us);
        let mut actions = Vec::new();
        self.limits.request_tokens(
            now,
            &self.catalog,
            &self.view,
            account,
            tokens,
            &mut actions,
        );
        effects_of(actions)
    }

    fn after_membership(&mut self, actions: Vec<MembershipAction>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => effects.push(Effect::Send {
                    to,
                    message: Message::Membership(message),
                }),
                MembershipAction::Paused { incarnation } => self.limits.on_paused(incarnation),
                MembershipAction::LivenessChanged { .. } => {}
            }
        }
        effects
    }
}

fn effects_of(actions: Vec<LimitsAction>) -> Vec<Effect> {
    actions
        .into_iter()
        .filter_map(|action| match action {
            LimitsAction::Send { to, message } => Some(Effect::Send {
                to,
                message: Message::Limits(message),
            }),
            LimitsAction::TokensArrived { account } => Some(Effect::Arrived(account)),
            LimitsAction::TokensDenied { account, .. } => Some(Effect::Denied(account)),
            _ => None,
        })
        .collect()
}
