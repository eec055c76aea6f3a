//! The snapshots that controllers publish and the path of a request reads.

use std::sync::atomic::AtomicU32;
use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Phase;
use super::PhaseCell;
use crate::catalog::Catalog;
use crate::limits::TokenPools;
use crate::membership::MembershipView;
use crate::routing::EndpointLoads;

/// The snapshots that controllers publish and the path of a request reads.
///
/// Each section has one writer: the control loop.
#[derive(Debug)]
pub struct Blackboard {
    /// The published objects in force.
    pub catalog: Arc<ArcSwap<Catalog>>,
    /// What is known about the other VMs.
    pub membership: ArcSwap<MembershipView>,
    /// What is known about the load of the endpoints.
    pub endpoint_loads: ArcSwap<EndpointLoads>,
    /// The tokens of the client accounts on this VM.
    pub token_pools: ArcSwap<TokenPools>,
    /// The phase of the daemon.
    pub phase: PhaseCell,
    /// The number of requests that run through this VM.
    pub running_count: AtomicU32,
}

impl Blackboard {
    /// Creates the blackboard of a daemon that boots.
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

    /// Publishes a catalog, with the loads of its endpoints.
    pub fn publish_catalog(&self, catalog: Arc<Catalog>) {
        let loads = self.endpoint_loads.load().for_catalog(&catalog);
        self.endpoint_loads.store(Arc::new(loads));
        self.catalog.store(catalog);
    }
}
