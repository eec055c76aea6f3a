//! Merges the reports of several VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::EndpointState;
use super::LimitReport;
use super::VmReport;
use super::VmState;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::telemetry::AccountStatistics;
use crate::telemetry::DayStatistics;

/// The merged reports of several VMs; merging is commutative and associative.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// The VMs that reported.
    pub vms: BTreeMap<Name, FleetVm>,
    /// The VMs that did not report.
    pub missing: BTreeSet<Name>,
    /// Today's statistics of all reporting VMs together.
    pub statistics: DayStatistics,
    /// The endpoints, by name.
    pub endpoints: BTreeMap<Name, FleetEndpoint>,
    /// The limits and held tokens of client accounts, by name.
    pub limits: BTreeMap<Name, FleetLimit>,
    /// Recent changes.
    pub changes: BTreeMap<ChangeKey, FleetChange>,
}

/// One VM in the merged report.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetVm {
    /// The region.
    pub region: Name,
    /// The state.
    pub state: VmState,
    /// The highest configuration ticket in force.
    pub ticket_in_force: TicketNumber,
    /// When the report was made.
    pub made_at: WallTime,
    /// The number of answers that it is sending.
    pub open_streams: u64,
    /// Notices for operators about the VM.
    pub notices: Vec<String>,
    /// Today's statistics of the requests that callers sent to this VM.
    pub served: AccountStatistics,
}

/// An endpoint in the merged report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEndpoint {
    /// The region.
    pub region: Name,
    /// The worst state that any VM reports.
    pub state: EndpointState,
    /// The number of VMs that report each state.
    pub seen_by: BTreeMap<EndpointState, u64>,
    /// The number of requests that run there, from all VMs.
    pub running: u64,
    /// The number of requests that it runs concurrently.
    pub concurrency: u64,
}

/// The limit of a client account, and the tokens that all VMs together hold for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetLimit {
    /// The rate, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst, in tokens.
    pub burst_tokens: u64,
    /// The tokens that all VMs together may spend immediately.
    pub held_tokens: u64,
}

/// Identifies a change; reports of several VMs with the same key are one change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeKey {
    /// The ticket; `None` for an automatic change.
    pub ticket: Option<TicketNumber>,
    /// What changed and why.
    pub summary: String,
}

/// When a change was recorded, and by which VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetChange {
    /// When the first VM recorded it.
    pub first_at: WallTime,
    /// When the last VM recorded it.
    pub last_at: WallTime,
    /// The VMs that recorded it.
    pub vms: BTreeSet<Name>,
}

impl From<VmReport> for FleetReport {
    fn from(report: VmReport) -> Self {
        let served = report.statistics.total();
        let mut fleet = Self {
            statistics: report.statistics,
            ..Self::default()
        };
        for endpoint in report.endpoints {
            let entry = FleetEndpoint {
                region: endpoint.region,
                state: endpoint.state,
                seen_by: BTreeMap::from([(endpoint.state, 1)]),
                running: endpoint.running,
                concurrency: endpoint.concurrency,
            };
            fleet.endpoints.insert(endpoint.endpoint, entry);
        }
        for limit in report.limits {
            let entry = FleetLimit::from(&limit);
            fleet.limits.insert(limit.client_account, entry);
        }
        for change in report.changes {
            let key = ChangeKey {
                ticket: change.ticket,
                summary: change.summary,
            };
            let entry = FleetChange {
                first_at: change.at,
                last_at: change.at,
                vms: BTreeSet::from([report.vm.clone()]),
            };
            merge_entry(&mut fleet.changes, key, entry, FleetChange::merge);
        }
        let entry = FleetVm {
            region: report.region,
            state: report.state,
            ticket_in_force: report.ticket_in_force,
            made_at: report.made_at,
            open_streams: report.open_streams,
            notices: report.notices,
            served,
        };
        fleet.vms.insert(report.vm, entry);
        fleet
    }
}

impl FleetReport {
    /// Creates a report that lists one VM as missing.
    pub fn missing(vm: Name) -> Self {
        Self {
            missing: BTreeSet::from([vm]),
            ..Self::default()
        }
    }

    /// Returns the union of two reports of different VMs.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.vms.extend(other.vms);
        self.missing.extend(other.missing);
        self.statistics.merge(&other.statistics);
        for (name, entry) in other.endpoints {
            merge_entry(&mut self.endpoints, name, entry, FleetEndpoint::merge);
        }
        for (name, entry) in other.limits {
            merge_entry(&mut self.limits, name, entry, FleetLimit::merge);
        }
        for (key, entry) in other.changes {
            merge_entry(&mut self.changes, key, entry, FleetChange::merge);
        }
        self
    }

    /// Returns the highest ticket that any VM has in force.
    pub fn newest_ticket(&self) -> TicketNumber {
        self.vms
            .values()
            .map(|vm| vm.ticket_in_force)
            .max()
            .unwrap_or_default()
    }
}

impl FleetEndpoint {
    fn merge(&mut self, other: Self) {
        if other.state > self.state {
            self.state = other.state;
        }
        // VMs disagree only while a ticket propagates; `max` does not depend on the merge order.
        self.region = self.region.clone().max(other.region);
        self.concurrency = self.concurrency.max(other.concurrency);
        self.running += other.running;
        for (state, count) in other.seen_by {
            *self.seen_by.entry(state).or_default() += count;
        }
    }
}

impl FleetLimit {
    fn merge(&mut self, other: Self) {
        self.rate_tokens_per_s = self.rate_tokens_per_s.max(other.rate_tokens_per_s);
        self.burst_tokens = self.burst_tokens.max(other.burst_tokens);
        self.held_tokens += other.held_tokens;
    }
}

impl From<&LimitReport> for FleetLimit {
    fn from(report: &LimitReport) -> Self {
        Self {
            rate_tokens_per_s: report.rate_tokens_per_s,
            burst_tokens: report.burst_tokens,
            held_tokens: report.held_tokens,
        }
    }
}

impl FleetChange {
    fn merge(&mut self, other: Self) {
        self.first_at = self.first_at.min(other.first_at);
        self.last_at = self.last_at.max(other.last_at);
        self.vms.extend(other.vms);
    }
}

fn merge_entry<K: Ord, V>(
    into: &mut BTreeMap<K, V>,
    key: K,
    value: V,
    merge: impl FnOnce(&mut V, V),
) {
    match into.entry(key) {
        std::collections::btree_map::Entry::Vacant(entry) => {
            entry.insert(value);
        }
        std::collections::btree_map::Entry::Occupied(mut entry) => merge(entry.get_mut(), value),
    }
}
