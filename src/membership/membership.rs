//! Failure detection and membership gossip of one VM.

use rand::Rng;
use rand::RngExt;
use slotmap::SecondaryMap;
use xxhash_rust::xxh3::xxh3_64;

use super::heartbeat_table::HeartbeatTable;
use super::heartbeat_table::SilenceLimits;
use super::listed_vms::ListedVms;
use super::rank_vms;
use super::remote_regions::RemoteRegions;
use super::Heartbeat;
use super::Incarnation;
use super::Liveness;
use super::MembershipAction;
use super::MembershipMessage;
use super::MembershipSettings;
use super::MembershipView;
use super::RegionContact;
use super::RegionSummary;
use super::Roster;
use super::VmStatus;
use super::VmSummary;
use super::VmView;
use crate::catalog::Catalog;
use crate::catalog::RegionKey;
use crate::catalog::ServiceState;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::publication::VmListEntry;

/// Failure detection and membership gossip of one VM, as a state machine without I/O.
///
/// Heartbeats are gossiped inside a region: each round goes to a few VMs, and each message carries
/// some of the newest heartbeats of others. A few reporters of each region send summaries to other
/// regions, where gossip spreads them.
#[derive(Debug)]
pub struct Membership {
    settings: MembershipSettings,
    local_vm: VmKey,
    incarnation: Incarnation,
    counter: u32,
    status: VmStatus,
    table: HeartbeatTable,
    remote: RemoteRegions,
    listed: ListedVms,
    ticked_at: Monotonic,
    next_gossip_at: Monotonic,
    next_summary_at: Monotonic,
    summary_round: usize,
}

impl Membership {
    /// Creates the membership of a VM that starts at `now`.
    pub fn new(
        settings: MembershipSettings,
        local_vm: VmKey,
        incarnation: Incarnation,
        now: Monotonic,
    ) -> Self {
        Self {
            settings,
            local_vm,
            incarnation,
            counter: 0,
            status: VmStatus::default(),
            table: HeartbeatTable::default(),
            remote: RemoteRegions::default(),
            listed: ListedVms::default(),
            ticked_at: now,
            next_gossip_at: now,
            next_summary_at: now,
            summary_round: 0,
        }
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Detects a pause of the process, updates the liveness of other VMs, and sends due gossip.
    pub fn tick(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        status: VmStatus,
        rng: &mut impl Rng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.status = status;
        self.detect_pause(now, out);
        let Some(region) = self.local_region(catalog) else {
            return;
        };
        let roster = Roster::of_region(catalog, region);
        self.table.retain_roster(now, &roster.vms);
        self.remote.retain_published(catalog);
        self.update_liveness(now, out);
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + self.settings.gossip_period;
            self.gossip(now, &roster, rng, out);
        }
        if now >= self.next_summary_at {
            self.next_summary_at = now + self.settings.summary_period;
            self.send_summary(now, catalog, region, &roster, rng, out);
        }
    }

    /// Stores the heartbeats and region summaries of another VM's message.
    pub fn on_message(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        _from: VmKey,
        message: MembershipMessage,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(region) = self.local_region(catalog) else {
            return;
        };
        for heartbeat in message.heartbeats {
            if heartbeat.vm == self.local_vm {
                self.supersede(heartbeat.incarnation, out);
            } else {
                self.table.record(now, heartbeat);
            }
        }
        for summary in message.summaries {
            if summary.region != region {
                self.remote.record(now, catalog, summary);
            }
        }
    }

    /// Applies the platform's list of VMs.
    pub fn on_vm_list(&mut self, catalog: &Catalog, list: &[VmListEntry]) {
        self.listed.update(catalog, list);
    }

    /// Returns a snapshot of what the VM knows about all published VMs.
    pub fn view(&self, now: Monotonic, catalog: &Catalog) -> MembershipView {
        let vms: SecondaryMap<VmKey, VmView> = catalog
            .vms
            .keys()
            .map(|vm| (vm, self.view_of(now, catalog, vm)))
            .collect();
        let contact = self.contact(catalog, &vms);
        MembershipView {
            local_vm: self.local_vm,
            incarnation: self.incarnation,
            contact,
            vms,
        }
    }

    fn local_region(&self, catalog: &Catalog) -> Option<RegionKey> {
        Some(catalog.vms.get(self.local_vm)?.region)
    }

    fn detect_pause(&mut self, now: Monotonic, out: &mut Vec<MembershipAction>) {
        let gap = now.since(self.ticked_at);
        self.ticked_at = now;
        if gap >= self.settings.pause_limit {
            self.table.reset_silence(now);
            self.begin_incarnation(Incarnation(self.incarnation.0 + 1), out);
        }
    }

    /// Begins an incarnation above `known` if peers know a higher one than the current, from an
    /// earlier process of this VM.
    fn supersede(&mut self, known: Incarnation, out: &mut Vec<MembershipAction>) {
        if known > self.incarnation {
            self.begin_incarnation(Incarnation(known.0 + 1), out);
        }
    }

    fn begin_incarnation(&mut self, incarnation: Incarnation, out: &mut Vec<MembershipAction>) {
        self.incarnation = incarnation;
        self.counter = 0;
        out.push(MembershipAction::Paused { incarnation });
    }

    fn update_liveness(&mut self, now: Monotonic, out: &mut Vec<MembershipAction>) {
        let limits = SilenceLimits {
            suspect_after: self.settings.suspect_after,
            dead_after: self.settings.dead_after,
        };
        for (vm, liveness) in self.table.update_liveness(now, limits) {
            if vm != self.local_vm {
                out.push(MembershipAction::LivenessChanged { vm, liveness });
            }
        }
    }

    fn gossip(
        &mut self,
        now: Monotonic,
        roster: &Roster,
        rng: &mut impl Rng,
        out: &mut Vec<MembershipAction>,
    ) {
        self.counter += 1;
        let local = self.local_heartbeat();
        for to in self.gossip_targets(roster, rng) {
            let mut heartbeats = vec![local];
            heartbeats.extend(self.table.pick(self.settings.heartbeats_per_message, rng));
            let summaries = self.pick_summaries(now);
            out.push(MembershipAction::Send {
                to,
                message: MembershipMessage {
                    heartbeats,
                    summaries,
                },
            });
        }
    }

    fn local_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            vm: self.local_vm,
            incarnation: self.incarnation,
            counter: self.counter,
            status: self.status,
        }
    }

    /// Picks the receivers of a round; dead VMs may be among them, so that the end of a network
    /// partition is detected.
    fn gossip_targets(&self, roster: &Roster, rng: &mut impl Rng) -> Vec<VmKey> {
        let mut others: Vec<VmKey> = roster.vms.clone();
        others.retain(|vm| *vm != self.local_vm);
        let count = self.settings.fan_out.min(others.len());
        for index in 0..count {
            let other = rng.random_range(index..others.len());
            others.swap(index, other);
        }
        others.truncate(count);
        others
    }

    fn pick_summaries(&mut self, now: Monotonic) -> Vec<RegionSummary> {
        self.remote.pick(
            now,
            self.settings.summaries_per_message,
            self.settings.summary_lifetime,
        )
    }

    /// Sends a summary to the next region in turn, if this VM is one of its region's reporters.
    fn send_summary(
        &mut self,
        now: Monotonic,
        catalog: &Catalog,
        region: RegionKey,
        roster: &Roster,
        rng: &mut impl Rng,
        out: &mut Vec<MembershipAction>,
    ) {
        if !self.is_reporter(catalog, region) {
            return;
        }
        let others: Vec<RegionKey> = catalog.regions.keys().filter(|r| *r != region).collect();
        if others.is_empty() {
            return;
        }
        let to_region = others[self.summary_round % others.len()];
        self.summary_round += 1;
        let Some(to) = self.contact_in(now, catalog, to_region, rng) else {
            return;
        };
        let mut summaries = vec![self.local_summary(now, catalog, region, roster)];
        summaries.extend(self.pick_summaries(now));
        summaries.retain(|summary| summary.region != to_region);
        out.push(MembershipAction::Send {
            to,
            message: MembershipMessage {
                heartbeats: Vec::new(),
                summaries,
            },
        });
    }

    fn is_reporter(&self, catalog: &Catalog, region: RegionKey) -> bool {
        let Some(name) = catalog.regions.get(region).map(|region| &region.name) else {
            return false;
        };
        let candidates = catalog
            .vms_in(region)
            .filter(|vm| *vm == self.local_vm || self.table.liveness(*vm) == Liveness::Alive);
        rank_vms(catalog, xxh3_64(name.as_str().as_bytes()), candidates)
            .into_iter()
            .take(self.settings.reporters_per_region)
            .any(|vm| vm == self.local_vm)
    }

    fn contact_in(
        &self,
        now: Monotonic,
        catalog: &Catalog,
        region: RegionKey,
        rng: &mut impl Rng,
    ) -> Option<VmKey> {
        let all: Vec<VmKey> = catalog.vms_in(region).collect();
        let mut alive = all.clone();
        alive.retain(|vm| self.view_of(now, catalog, *vm).liveness == Liveness::Alive);
        let candidates = if alive.is_empty() { all } else { alive };
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[rng.random_range(0..candidates.len())])
    }

    fn local_summary(
        &self,
        now: Monotonic,
        catalog: &Catalog,
        region: RegionKey,
        roster: &Roster,
    ) -> RegionSummary {
        let vms = roster
            .vms
            .iter()
            .map(|vm| VmSummary::from(&self.view_of(now, catalog, *vm)))
            .collect();
        RegionSummary {
            region,
            roster_hash: roster.hash,
            age: std::time::Duration::ZERO,
            vms,
        }
    }

    fn view_of(&self, now: Monotonic, catalog: &Catalog, vm: VmKey) -> VmView {
        let published = &catalog.vms[vm];
        let mut view = if vm == self.local_vm {
            VmView::from_heartbeat(self.local_heartbeat(), Liveness::Alive)
        } else if Some(published.region) == self.local_region(catalog) {
            self.local_view(vm)
        } else {
            self.remote_view(now, published.region, vm)
        };
        view.is_leaving |= published.state == ServiceState::Leaving;
        view.is_leaving |= self.listed.is_gone(vm);
        view
    }

    fn local_view(&self, vm: VmKey) -> VmView {
        let liveness = self.table.liveness(vm);
        match self.table.heartbeat(vm) {
            Some(heartbeat) => VmView::from_heartbeat(heartbeat, liveness),
            None => VmView::without_heartbeat(liveness),
        }
    }

    fn remote_view(&self, now: Monotonic, region: RegionKey, vm: VmKey) -> VmView {
        let lifetime = self.settings.summary_lifetime;
        let liveness = self.remote.liveness(now, region, vm, lifetime);
        let mut view = VmView::without_heartbeat(liveness);
        if let Some(summary) = self.remote.vm(region, vm) {
            view.is_leaving = summary.is_leaving();
            view.load_permille = summary.load_permille();
        }
        view
    }

    fn contact(&self, catalog: &Catalog, vms: &SecondaryMap<VmKey, VmView>) -> RegionContact {
        let Some(region) = self.local_region(catalog) else {
            return RegionContact::Minority;
        };
        let roster_len = catalog.published_vms_in(region).count();
        let alive_len = catalog
            .published_vms_in(region)
            .filter(|vm| vms[*vm].liveness == Liveness::Alive)
            .count();
        if alive_len * 2 > roster_len {
            RegionContact::Majority
        } else {
            RegionContact::Minority
        }
    }
}
