//! The reports of several VMs, merged.

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

/// The reports of several VMs, merged; the order of merging makes no difference.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetReport {
    /// The VMs that reported.
    pub vms: BTreeMap<Name, FleetVm>,
    /// The VMs that did not report.
    pub missing: BTreeSet<Name>,
    /// What happened today, over all of them.
    pub statistics: DayStatistics,
    /// The endpoints.
    pub endpoints: BTreeMap<Name, FleetEndpoint>,
    /// The tokens held for client accounts.
    pub limits: BTreeMap<Name, FleetLimit>,
    /// The changes.
    pub changes: BTreeMap<ChangeKey, FleetChange>,
}

/// What one VM adds about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetVm {
    /// The region.
    pub region: Name,
    /// The state.
    pub state: VmState,
    /// The highest ticket in force.
    pub ticket_in_force: TicketNumber,
    /// When the report was made.
    pub made_at: WallTime,
    /// The answers that it is sending.
    pub open_streams: u64,
    /// What operators should know about the VM.
    pub notices: Vec<String>,
    /// What callers of this VM got today.
    pub served: AccountStatistics,
}

/// An endpoint as all VMs together see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetEndpoint {
    /// The region.
    pub region: Name,
    /// The worst state that a VM sees.
    pub state: EndpointState,
    /// The VMs that see each state.
    pub seen_by: BTreeMap<EndpointState, u64>,
    /// The requests that run there.
    pub running: u64,
    /// The requests that it runs at once.
    pub concurrency: u64,
}

/// The tokens of a client account that all VMs together hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetLimit {
    /// The rate, in tokens per second.
    pub rate_tokens_per_s: u64,
    /// The burst, in tokens.
    pub burst_tokens: u64,
    /// The tokens that may be spent at once.
    pub held_tokens: u64,
}

/// What tells one change from another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChangeKey {
    /// The ticket; `None` if the system made the change by itself.
    pub ticket: Option<TicketNumber>,
    /// What changed, and why.
    pub summary: String,
}

/// Where and when a change was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetChange {
    /// When the first VM saw it.
    pub first_at: WallTime,
    /// When the last VM saw it.
    pub last_at: WallTime,
    /// The VMs that saw it.
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
            let part = FleetEndpoint {
                region: endpoint.region,
                state: endpoint.state,
                seen_by: BTreeMap::from([(endpoint.state, 1)]),
                running: endpoint.running,
                concurrency: endpoint.concurrency,
            };
            fleet.endpoints.insert(endpoint.endpoint, part);
        }
        for limit in report.limits {
            let part = FleetLimit::from(&limit);
            fleet.limits.insert(limit.client_account, part);
        }
        for change in report.changes {
            let key = ChangeKey {
                ticket: change.ticket,
                summary: change.summary,
            };
            let part = FleetChange {
                first_at: change.at,
                last_at: change.at,
                vms: BTreeSet::from([report.vm.clone()]),
            };
            merge_entry(&mut fleet.changes, key, part, FleetChange::merge);
        }
        let part = FleetVm {
            region: report.region,
            state: report.state,
            ticket_in_force: report.ticket_in_force,
            made_at: report.made_at,
            open_streams: report.open_streams,
            notices: report.notices,
            served,
        };
        fleet.vms.insert(report.vm, part);
        fleet
    }
}

impl FleetReport {
    /// Creates the report of a VM that did not answer.
    pub fn missing(vm: Name) -> Self {
        Self {
            missing: BTreeSet::from([vm]),
            ..Self::default()
        }
    }

    /// Adds the report of other VMs.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.vms.extend(other.vms);
        self.missing.extend(other.missing);
        self.statistics.merge(&other.statistics);
        for (name, part) in other.endpoints {
            merge_entry(&mut self.endpoints, name, part, FleetEndpoint::merge);
        }
        for (name, part) in other.limits {
            merge_entry(&mut self.limits, name, part, FleetLimit::merge);
        }
        for (key, part) in other.changes {
            merge_entry(&mut self.changes, key, part, FleetChange::merge);
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
        // Views differ only while a ticket spreads; the choice must not depend on the order.
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
