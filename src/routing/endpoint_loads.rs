//! The load of all endpoints, as known to one VM.

use std::sync::Arc;

use slotmap::SecondaryMap;

use super::EndpointLoad;
use crate::catalog::Catalog;
use crate::catalog::EndpointKey;

/// The load of all endpoints, as known to one VM; published as a snapshot on the blackboard.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoads {
    loads: SecondaryMap<EndpointKey, Arc<EndpointLoad>>,
}

impl EndpointLoads {
    /// Creates the snapshot for `catalog`, sharing the loads of endpoints that stay.
    pub fn for_catalog(&self, catalog: &Catalog) -> Self {
        let loads = catalog
            .endpoints
            .keys()
            .map(|key| (key, self.loads.get(key).cloned().unwrap_or_default()))
            .collect();
        Self { loads }
    }

    /// Returns the load of an endpoint, or `None` if the snapshot's catalog does not hold it.
    pub fn get(&self, endpoint: EndpointKey) -> Option<&Arc<EndpointLoad>> {
        self.loads.get(endpoint)
    }

    /// Returns all endpoints with their loads.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Arc<EndpointLoad>)> {
        self.loads.iter()
    }
}
