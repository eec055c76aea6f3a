//! Polls the load reports of the engines of the local region.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::RequestContext;
use crate::catalog::Endpoint;
use crate::catalog::EndpointKey;
use crate::catalog::EndpointKind;

/// The most reports that a VM reads per second.
const REPORTS_MAX_PER_S: u32 = 20;
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_PAUSE: Duration = Duration::from_millis(200);

/// Polls the load reports of the engines of the local region in turn.
pub(super) struct LoadPoller {
    context: Arc<RequestContext>,
    period: Duration,
}

impl LoadPoller {
    /// Creates a poller that reads each report once in `period`, or less often if that would exceed
    /// [`REPORTS_MAX_PER_S`].
    pub(super) fn new(context: Arc<RequestContext>, period: Duration) -> Self {
        Self { context, period }
    }

    /// Runs until the task is aborted.
    pub(super) async fn run(self) {
        loop {
            let endpoints = self.local_engines();
            let Ok(count) = u32::try_from(endpoints.len()) else {
                return;
            };
            if count == 0 {
                sleep(IDLE_PAUSE).await;
                continue;
            }
            let pause = (self.period / count).max(Duration::from_secs(1) / REPORTS_MAX_PER_S);
            for (key, endpoint) in endpoints {
                let context = Arc::clone(&self.context);
                tokio::spawn(read_report(context, key, endpoint));
                sleep(pause).await;
            }
        }
    }

    fn local_engines(&self) -> Vec<(EndpointKey, Endpoint)> {
        let catalog = self.context.blackboard.catalog.load();
        let local_vm = self.context.blackboard.membership.load().local_vm;
        let Some(region) = catalog.vms.get(local_vm).map(|vm| vm.region) else {
            return Vec::new();
        };
        catalog
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.region == region)
            .filter(|(_, endpoint)| endpoint.kind == EndpointKind::Engine)
            .map(|(key, endpoint)| (key, endpoint.clone()))
            .collect()
    }
}

async fn read_report(context: Arc<RequestContext>, key: EndpointKey, endpoint: Endpoint) {
    let load = context.blackboard.endpoint_loads.load().get(key).cloned();
    let Some(load) = load else {
        return;
    };
    let report = context.endpoints.load(&endpoint, load.cache_sequence());
    // After a failed read the previous report stays in use and ages.
    let Ok(Ok(report)) = timeout(REPORT_TIMEOUT, report).await else {
        return;
    };
    load.on_report(context.clock.now(), &report);
    load.on_cache_events(report.cache_sequence, &report.cache_events);
    context.dispatcher.on_slot_freed();
}
