//! Runs a fleet in virtual time.

use std::collections::HashMap;
use std::collections::VecDeque;

use figramp::catalog::ClientAccountKey;
use figramp::catalog::VmKey;
use figramp::limits::LimitsSettings;
use figramp::limits::Reservation;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::events::Event;
use super::events::EventQueue;
use super::events::Message;
use super::events::Waiter;
use super::published::account_name;
use super::published::region_name;
use super::published::vm_name;
use super::vm::Effect;
use super::vm::Run;
use super::AccountPlan;
use super::ExcessMeter;
use super::FleetVm;
use super::IdealBucket;
use super::Network;
use super::Published;
use super::Request;

const TICK_US: u64 = 100_000;
const WAIT_US: u64 = 600_000;

/// The size of a fleet and its accounts.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub seed: u64,
    pub regions: usize,
    pub vms_per_region: usize,
    pub accounts: Vec<AccountPlan>,
}

/// Requests of one account, in one region or more.
#[derive(Clone, Debug)]
pub struct Traffic {
    pub account: usize,
    pub requests_per_s: f64,
    pub region_weights: Vec<u32>,
    pub reserved_tokens: (u64, u64),
    pub used_permille: (u64, u64),
    pub run_us: (u64, u64),
    pub until_us: u64,
}

/// Whether a request was admitted.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub request: Request,
    pub is_admitted: bool,
}

/// A fleet in virtual time.
#[derive(Debug)]
pub struct Fleet {
    pub now_us: u64,
    pub rng: StdRng,
    pub published: Published,
    pub network: Network,
    pub vms: HashMap<VmKey, FleetVm>,
    pub meters: Vec<ExcessMeter>,
    pub outcomes: Vec<Outcome>,
    pub settings: LimitsSettings,
    ideals: Vec<IdealBucket>,
    traffic: Vec<Traffic>,
    pending: EventQueue,
    last_id: u64,
}

impl Fleet {
    pub fn new(plan: &FleetPlan, settings: LimitsSettings) -> Self {
        let published = Published::new(plan.regions, plan.vms_per_region, &plan.accounts);
        let meter = |plan: &AccountPlan| ExcessMeter::new(plan.rate, plan.burst);
        let ideal = |plan: &AccountPlan| IdealBucket::new(plan.rate, plan.burst);
        let mut fleet = Self {
            now_us: 1_000_000,
            rng: StdRng::seed_from_u64(plan.seed),
            meters: plan.accounts.iter().map(meter).collect(),
            ideals: plan.accounts.iter().map(ideal).collect(),
            published,
            network: Network::default(),
            vms: HashMap::new(),
            outcomes: Vec::new(),
            settings,
            traffic: Vec::new(),
            pending: EventQueue::default(),
            last_id: 0,
        };
        let mut vms: Vec<VmKey> = fleet.published.latest().vms.keys().collect();
        vms.sort();
        for vm in vms {
            fleet.boot(vm);
        }
        fleet
    }

    /// Starts or restarts the process of a VM.
    pub fn boot(&mut self, vm: VmKey) {
        self.last_id += 1;
        let process = self.last_id;
        let catalog = self.published.latest();
        let booted = FleetVm::boot(self.now_us, vm, process, catalog, &self.settings);
        self.vms.insert(vm, booted);
        let at_us = self.now_us + self.rng.random_range(0..TICK_US);
        self.pending.push(at_us, Event::Tick { vm, process });
    }

    pub fn kill(&mut self, vm: VmKey) {
        if let Some(vm) = self.vms.remove(&vm) {
            for waiter in vm.waiters {
                self.refuse(waiter.request);
            }
        }
    }

    pub fn pause(&mut self, vm: VmKey, time_us: u64) {
        if let Some(vm) = self.vms.get_mut(&vm) {
            vm.paused_until_us = self.now_us + time_us;
        }
    }

    /// Applies the latest catalog on every VM, each at a random time within `lag_us`.
    pub fn roll_out_catalog(&mut self, lag_us: u64) {
        let catalog = self.published.catalogs.len() - 1;
        let mut vms: Vec<VmKey> = self.vms.keys().copied().collect();
        vms.sort();
        for vm in vms {
            let at_us = self.now_us + self.rng.random_range(0..=lag_us);
            self.pending
                .push(at_us, Event::ApplyCatalog { vm, catalog });
        }
    }

    pub fn add_traffic(&mut self, traffic: Traffic) {
        self.traffic.push(traffic);
        let traffic = self.traffic.len() - 1;
        self.pending.push(self.now_us, Event::Arrival { traffic });
    }

    pub fn vm_at(&self, region: usize, vm: usize) -> VmKey {
        let catalog = self.published.latest();
        catalog.vm_named(&vm_name(region, vm)).unwrap()
    }

    /// Returns any published VM of a region.
    pub fn vm_in(&self, region: usize) -> VmKey {
        let catalog = self.published.latest();
        let region = catalog.region_named(&region_name(region)).unwrap();
        let vm = catalog.vms_in(region).next();
        vm.unwrap()
    }

    /// Returns the home of an account in a region.
    pub fn home_of(&self, region: usize, account: usize) -> Option<VmKey> {
        let catalog = self.published.latest();
        let region = catalog.region_named(&region_name(region))?;
        let account = catalog.client_account_named(&account_name(account))?;
        let is_home = |vm: &&FleetVm| vm.limits.balance_tokens(account).is_some();
        let in_region = |vm: &&FleetVm| catalog.vms.get(vm.key).is_some_and(|v| v.region == region);
        let home = self.vms.values().filter(in_region).find(is_home);
        home.map(|vm| vm.key)
    }

    pub fn run_for(&mut self, time_us: u64) {
        let end_us = self.now_us + time_us;
        while let Some((at_us, event)) = self.pending.pop_until(end_us) {
            self.now_us = at_us;
            self.handle(event);
        }
        self.now_us = end_us;
    }

    /// Returns the tokens admitted over those that an ideal token bucket admits, from `from_us` on.
    pub fn service_ratio(&self, account: usize, from_us: u64) -> f64 {
        let mut ideal_tokens = 0;
        let mut admitted_tokens = 0;
        for outcome in &self.outcomes {
            let request = &outcome.request;
            if request.account != account || request.arrived_us < from_us {
                continue;
            }
            ideal_tokens += u64::from(request.is_admitted_by_ideal) * request.used_tokens;
            admitted_tokens += u64::from(outcome.is_admitted) * request.used_tokens;
        }
        admitted_tokens as f64 / ideal_tokens.max(1) as f64
    }

    /// Returns the share of requests inside the rate that were refused, of those that arrived
    /// from `from_us` on.
    pub fn refused_in_rate(&self, account: usize, from_us: u64) -> f64 {
        let counted = |outcome: &&Outcome| {
            let request = &outcome.request;
            request.account == account
                && request.is_admitted_by_ideal
                && request.arrived_us >= from_us
        };
        let all = self.outcomes.iter().filter(counted).count();
        let refused = self
            .outcomes
            .iter()
            .filter(counted)
            .filter(|outcome| !outcome.is_admitted)
            .count();
        refused as f64 / all.max(1) as f64
    }

    fn handle(&mut self, event: Event) {
        if let Some(vm) = event.vm() {
            let Some(vm) = self.vms.get(&vm) else {
                return;
            };
            if vm.paused_until_us > self.now_us {
                self.pending.push(vm.paused_until_us, event);
                return;
            }
        }
        match event {
            Event::Tick { vm, process } => self.tick(vm, process),
            Event::Deliver { from, to, message } => self.deliver(from, to, message),
            Event::ApplyCatalog { vm, catalog } => {
                let catalog = self.published.catalogs[catalog].clone();
                let state = self.vms.get_mut(&vm).unwrap();
                if catalog.ticket > state.catalog.ticket {
                    state.catalog = catalog;
                }
            }
            Event::Arrival { traffic } => self.arrive(traffic),
            Event::Finish { vm, process, run } => self.finish(vm, process, run),
            Event::WaitTimeout {
                vm,
                process,
                waiter,
            } => self.time_out_waiter(vm, process, waiter),
            Event::IdealRefund { account, tokens } => {
                self.ideals[account].fill(self.now_us, tokens);
            }
        }
    }

    fn tick(&mut self, vm: VmKey, process: u64) {
        let state = self.vms.get_mut(&vm).unwrap();
        if state.process != process {
            return;
        }
        let effects = state.tick(self.now_us, &mut self.rng);
        self.pending
            .push(self.now_us + TICK_US, Event::Tick { vm, process });
        self.apply(vm, effects);
    }

    fn deliver(&mut self, from: VmKey, to: VmKey, message: Message) {
        if self.network.is_partitioned(from, to) {
            return;
        }
        let state = self.vms.get_mut(&to).unwrap();
        let effects = state.deliver(self.now_us, from, message);
        self.apply(to, effects);
    }

    fn arrive(&mut self, index: usize) {
        let traffic = self.traffic[index].clone();
        if self.now_us >= traffic.until_us {
            return;
        }
        let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / traffic.requests_per_s;
        let next_us = self.now_us + 1 + (gap_s * 1e6) as u64;
        self.pending
            .push(next_us, Event::Arrival { traffic: index });
        let request = self.request(&traffic);
        match self.entry_vm(&traffic.region_weights) {
            Some(vm) => self.enter(vm, request),
            None => self.refuse(request),
        }
    }

    fn request(&mut self, traffic: &Traffic) -> Request {
        let (least, most) = traffic.reserved_tokens;
        let reserved_tokens = self.rng.random_range(least..=most);
        let (least, most) = traffic.used_permille;
        let used_tokens = reserved_tokens * self.rng.random_range(least..=most) / 1_000;
        let run_us = self.rng.random_range(traffic.run_us.0..=traffic.run_us.1);
        let is_admitted_by_ideal = self.ideals[traffic.account].admit(self.now_us, reserved_tokens);
        if is_admitted_by_ideal {
            let refund = Event::IdealRefund {
                account: traffic.account,
                tokens: reserved_tokens - used_tokens,
            };
            self.pending.push(self.now_us + run_us, refund);
        }
        let catalog = self.published.latest();
        let key = catalog.client_account_named(&account_name(traffic.account));
        Request {
            account: traffic.account,
            key: key.unwrap(),
            reserved_tokens,
            used_tokens,
            run_us,
            is_admitted_by_ideal,
            arrived_us: self.now_us,
        }
    }

    /// Picks a region by weight and a random running VM of it.
    fn entry_vm(&mut self, region_weights: &[u32]) -> Option<VmKey> {
        let total: u32 = region_weights.iter().sum();
        let mut left = self.rng.random_range(0..total);
        let region = region_weights.iter().position(|weight| {
            let is_here = left < *weight;
            left = left.saturating_sub(*weight);
            is_here
        })?;
        let catalog = self.published.latest();
        let region = catalog.region_named(&region_name(region))?;
        let mut vms: Vec<VmKey> = catalog.vms_in(region).collect();
        vms.retain(|vm| {
            let vm = self.vms.get(vm);
            vm.is_some_and(|vm| vm.paused_until_us <= self.now_us && !vm.is_leaving)
        });
        vms.sort();
        (!vms.is_empty()).then(|| vms[self.rng.random_range(0..vms.len())])
    }

    fn enter(&mut self, vm: VmKey, request: Request) {
        self.last_id += 1;
        let id = self.last_id;
        let process = self.vms[&vm].process;
        let waiter = Event::WaitTimeout {
            vm,
            process,
            waiter: id,
        };
        self.pending.push(self.now_us + WAIT_US, waiter);
        self.admit(vm, Waiter { id, request });
    }

    fn admit(&mut self, vm: VmKey, waiter: Waiter) {
        let now_us = self.now_us;
        let request = waiter.request;
        let state = self.vms.get_mut(&vm).unwrap();
        let pools = state.limits.pools();
        let Some(pool) = pools.get(request.key) else {
            return self.refuse(request);
        };
        match pool.reserve(state.now(now_us), request.reserved_tokens) {
            Ok(reservation) => self.start(vm, request, reservation),
            Err(shortfall) => {
                state.waiters.push(waiter);
                let effects = state.request_tokens(now_us, request.key, shortfall.missing_tokens);
                self.apply(vm, effects);
            }
        }
    }

    fn start(&mut self, vm: VmKey, request: Request, reservation: Reservation) {
        self.last_id += 1;
        let run = self.last_id as usize;
        let state = self.vms.get_mut(&vm).unwrap();
        let process = state.process;
        let running = Run {
            request,
            reservation,
        };
        state.runs.insert(run, running);
        self.meters[request.account].add(self.now_us, request.used_tokens);
        self.outcomes.push(Outcome {
            request,
            is_admitted: true,
        });
        let finish = Event::Finish { vm, process, run };
        self.pending.push(self.now_us + request.run_us, finish);
    }

    fn finish(&mut self, vm: VmKey, process: u64, run: usize) {
        let state = self.vms.get_mut(&vm).unwrap();
        if state.process != process {
            return;
        }
        let run = state.runs.remove(&run).unwrap();
        let pools = state.limits.pools();
        if let Some(pool) = pools.get(run.request.key) {
            pool.settle(run.reservation, run.request.used_tokens);
        }
    }

    fn time_out_waiter(&mut self, vm: VmKey, process: u64, id: u64) {
        let state = self.vms.get_mut(&vm).unwrap();
        let index = state.waiters.iter().position(|waiter| waiter.id == id);
        if state.process == process {
            if let Some(index) = index {
                let waiter = state.waiters.remove(index);
                self.refuse(waiter.request);
            }
        }
    }

    fn refuse(&mut self, request: Request) {
        self.outcomes.push(Outcome {
            request,
            is_admitted: false,
        });
    }

    fn apply(&mut self, vm: VmKey, effects: Vec<Effect>) {
        let mut effects = VecDeque::from(effects);
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send { to, message } => self.send(vm, to, message),
                Effect::Denied(account) => {
                    for waiter in self.take_waiters(vm, account) {
                        self.refuse(waiter.request);
                    }
                }
                Effect::Arrived(account) => self.retry_waiters(vm, account),
            }
        }
    }

    fn retry_waiters(&mut self, vm: VmKey, account: ClientAccountKey) {
        for waiter in self.take_waiters(vm, account) {
            self.admit(vm, waiter);
        }
    }

    fn take_waiters(&mut self, vm: VmKey, account: ClientAccountKey) -> Vec<Waiter> {
        let state = self.vms.get_mut(&vm).unwrap();
        let waiters = std::mem::take(&mut state.waiters);
        let (taken, kept) = waiters
            .into_iter()
            .partition(|waiter| waiter.request.key == account);
        state.waiters = kept;
        taken
    }

    fn send(&mut self, from: VmKey, to: VmKey, message: Message) {
        let catalog = self.vms[&from].catalog.clone();
        let message = self.network.round_trip(&catalog, message);
        let delays_us = self.network.delays_us(&catalog, from, to, &mut self.rng);
        for delay_us in delays_us {
            let message = message.clone();
            let event = Event::Deliver { from, to, message };
            self.pending.push(self.now_us + delay_us, event);
        }
    }
}
