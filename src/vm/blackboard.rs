//! The snapshots that the control loop publishes for the request path.

use std::sync::atomic::AtomicU32;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Phase;
use super::PhaseCell;
use crate::catalog::Catalog;
use crate::limits::TokenPools;
use crate::membership::MembershipView;
use crate::routing::EndpointLoads;

/// The snapshots that the control loop publishes for the request path, and the daemon's state.
///
/// Only the control loop stores a snapshot.
#[derive(Debug)]
pub struct Blackboard {
    /// The catalog of the configuration in force.
    pub catalog: Arc<ArcSwap<Catalog>>,
    /// The local VM's view of all VMs.
    pub membership: ArcSwap<MembershipView>,
    /// The load of each endpoint, updated by the request path in place.
    pub endpoint_loads: ArcSwap<EndpointLoads>,
    /// The tokens that this VM holds for each client account.
    pub token_pools: ArcSwap<TokenPools>,
    /// The lifecycle phase of the daemon.
    pub phase: PhaseCell,
    /// The number of requests that this VM runs.
    pub running_count: AtomicU32,
}

impl Blackboard {
    /// Creates the blackboard of a daemon in [`Phase::Booting`].
    pub fn new(catalog: Arc<Catalog>, view: MembershipView) -> Self {
        let endpoint_loads = EndpointLoads::default().for_catalog(&catalog);
        Self {
            catalog: Arc::new(ArcSwap::new(catalog)),
            membership: ArcSwap::from_pointee(view),
            endpoint_loads: ArcSwap::from_pointee(endpoint_loads),
            token_pools: ArcSwap::default(),
            phase: PhaseCell::new(Phase::Booting),
            running_count: AtomicU32::new(0),
        }
    }

    /// Publishes a catalog, and loads for exactly its endpoints.
    pub fn publish_catalog(&self, catalog: Arc<Catalog>) {
        let loads = self.endpoint_loads.load().for_catalog(&catalog);
        self.endpoint_loads.store(Arc::new(loads));
        self.catalog.store(catalog);
    }
}
