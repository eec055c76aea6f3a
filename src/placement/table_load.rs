//! What a VM publishes of the load of endpoints.

use std::time::Duration;

use super::EndpointKey;
use super::EndpointTable;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::fleet::EndpointLoad;
use crate::fleet::NameHash;
use crate::fleet::ServiceLoad;

/// The age up to which a report counts in a sample of the load. Endpoints that reported much are used less,
/// so that their reports become old.
const SAMPLED_AGE_MAX: Duration = Duration::from_millis(300);

/// The number of endpoints of a service whose load is published.
const PUBLISHED_MAX: usize = 5;

impl EndpointTable {
    /// Samples the load of the region's warm endpoints, of all VMs and of this one.
    ///
    /// While all endpoints of a service are cold, its load stays what it was before.
    pub fn sample_load(&mut self, now: Monotonic) {
        let services: Vec<Name> = self.by_service.keys().cloned().collect();
        self.published_loads
            .retain(|service, _| services.contains(service));
        for service in services {
            let warm = self.warm_endpoints(now, &service);
            if !self.is_any_reported(&warm) {
                continue;
            }
            for key in &warm {
                if let Some(state) = self.endpoints.get_mut(*key) {
                    let report = state.load.recent_report(now, SAMPLED_AGE_MAX);
                    state.mean_load.add(state.load.local_requests(), report);
                }
            }
            let loads = self.publish(&warm);
            self.published_loads.insert(service, loads);
        }
    }

    /// Returns the mean load of some warm endpoints of each service, the same at all VMs.
    pub fn loads(&self) -> Vec<ServiceLoad> {
        let loads = self.published_loads.iter();
        let loads = loads.map(|(service, endpoints)| ServiceLoad {
            service: NameHash::from(service),
            endpoints: endpoints.clone(),
        });
        loads.collect()
    }

    fn warm_endpoints(&self, now: Monotonic, service: &Name) -> Vec<EndpointKey> {
        let warm = self
            .of_service(service)
            .filter(|(_, state)| state.takes_requests() && !state.is_cold(now));
        warm.map(|(key, _)| key).collect()
    }

    /// Returns whether one of the endpoints has reported its load.
    fn is_any_reported(&self, keys: &[EndpointKey]) -> bool {
        let mut states = keys.iter().filter_map(|key| self.endpoints.get(*key));
        states.any(|state| state.load.is_reported())
    }

    /// Returns the load of the endpoints with the lowest hashes.
    fn publish(&self, warm: &[EndpointKey]) -> Vec<EndpointLoad> {
        let states = warm.iter().filter_map(|key| self.endpoints.get(*key));
        let loads = states.map(|state| state.mean_load.published(state.hash));
        let mut loads: Vec<EndpointLoad> = loads.collect();
        loads.sort_by_key(|load| load.endpoint);
        loads.truncate(PUBLISHED_MAX);
        loads
    }
}
