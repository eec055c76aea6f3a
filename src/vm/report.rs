//! The operators' report of this VM, made from the blackboard.

use std::sync::Arc;

use parking_lot::Mutex;

use super::Phase;
use super::RequestContext;
use crate::audit::AuditTrail;
use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::ServiceState;
use crate::membership::RegionContact;
use crate::operator::AuditEntry;
use crate::operator::ChangeReport;
use crate::operator::EndpointReport;
use crate::operator::EndpointState;
use crate::operator::Explanation;
use crate::operator::LimitReport;
use crate::operator::OperatorAddress;
use crate::operator::ReportSource;
use crate::operator::VmReport;
use crate::operator::VmState;
use crate::request::RequestId;
use crate::routing::Health;

const CHANGES_MAX: usize = 50;

/// The operators' report of this VM, made from the blackboard.
pub(super) struct BlackboardReport {
    context: Arc<RequestContext>,
    audit: Arc<Mutex<AuditTrail>>,
}

impl BlackboardReport {
    pub(super) fn new(context: Arc<RequestContext>, audit: Arc<Mutex<AuditTrail>>) -> Self {
        Self { context, audit }
    }

    fn endpoints(&self, catalog: &Catalog) -> Vec<EndpointReport> {
        let now = self.context.clock.now();
        let loads = self.context.blackboard.endpoint_loads.load();
        catalog
            .endpoints
            .iter()
            .map(|(key, endpoint)| {
                let load = loads.get(key);
                let health = load.map(|load| load.health(now));
                let state = match (endpoint.state, health) {
                    (ServiceState::Leaving, _) => EndpointState::Leaving,
                    (_, Some(Health::CoolingDown { .. })) => EndpointState::Unreachable,
                    _ => EndpointState::Active,
                };
                EndpointReport {
                    endpoint: endpoint.name.clone(),
                    region: catalog.regions[endpoint.region].name.clone(),
                    state,
                    running: load.map_or(0, |load| u64::from(load.local_requests())),
                    concurrency: u64::from(endpoint.concurrency),
                }
            })
            .collect()
    }

    fn limits(&self, catalog: &Catalog) -> Vec<LimitReport> {
        let now = self.context.clock.now();
        let pools = self.context.blackboard.token_pools.load();
        catalog
            .client_accounts
            .iter()
            .map(|(key, account)| LimitReport {
                client_account: account.name.clone(),
                rate_tokens_per_s: account.rate_tokens_per_s,
                burst_tokens: account.burst_tokens,
                held_tokens: pools.get(key).map_or(0, |pool| pool.available_tokens(now)),
            })
            .collect()
    }

    fn changes(&self) -> Vec<ChangeReport> {
        let audit = self.audit.lock();
        let after = audit.last_sequence().saturating_sub(CHANGES_MAX as u64);
        audit
            .since(after)
            .map(|entry| ChangeReport {
                at: entry.time,
                ticket: entry.event.ticket(),
                summary: entry.event.to_string(),
            })
            .collect()
    }

    fn notices(&self) -> Vec<String> {
        let view = self.context.blackboard.membership.load();
        let mut notices = Vec::new();
        if view.contact == RegionContact::Minority {
            notices.push("This VM is out of contact with most VMs of its region.".to_owned());
        }
        notices
    }
}

impl ReportSource for BlackboardReport {
    fn report(&self) -> VmReport {
        let catalog = self.context.blackboard.catalog.load_full();
        let local_vm = self.context.blackboard.membership.load().local_vm;
        let made_at = self.context.clock.wall_time();
        let (vm, region) = vm_and_region_names(&catalog, local_vm);
        VmReport {
            vm,
            region,
            state: match self.context.blackboard.phase.load() {
                Phase::Booting => VmState::Starting,
                Phase::Serving => VmState::Serving,
                Phase::Draining => VmState::Draining,
            },
            ticket_in_force: catalog.ticket,
            made_at,
            open_streams: self.context.telemetry.open_stream_count(),
            notices: self.notices(),
            statistics: self.context.telemetry.statistics(made_at),
            endpoints: self.endpoints(&catalog),
            limits: self.limits(&catalog),
            changes: self.changes(),
        }
    }

    fn other_vms(&self) -> Vec<OperatorAddress> {
        let catalog = self.context.blackboard.catalog.load();
        let local_vm = self.context.blackboard.membership.load().local_vm;
        catalog
            .vms
            .iter()
            .filter(|(key, _)| *key != local_vm)
            .map(|(_, vm)| OperatorAddress {
                vm: vm.name.clone(),
                address: vm.operator_address,
            })
            .collect()
    }

    fn explanation(&self, request_id: RequestId) -> Option<Explanation> {
        self.context.explanations.get(request_id)
    }

    fn audit(&self, after: u64, limit: usize) -> Vec<AuditEntry> {
        self.audit
            .lock()
            .since(after)
            .take(limit)
            .map(|entry| AuditEntry {
                number: entry.sequence,
                at: entry.time,
                ticket: entry.event.ticket(),
                summary: entry.event.to_string(),
            })
            .collect()
    }

    fn metrics(&self) -> String {
        self.context.telemetry.metrics_text()
    }
}

fn vm_and_region_names(catalog: &Catalog, vm: crate::catalog::VmKey) -> (Name, Name) {
    let vm = &catalog.vms[vm];
    let region = &catalog.regions[vm.region];
    (vm.name.clone(), region.name.clone())
}
