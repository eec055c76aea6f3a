//! What one VM knows about the load of all endpoints.

use std::sync::Arc;

use slotmap::SecondaryMap;

use super::EndpointLoad;
use crate::catalog::Catalog;
use crate::catalog::EndpointKey;

/// What one VM knows about the load of all endpoints; a snapshot on the blackboard.
#[derive(Clone, Debug, Default)]
pub struct EndpointLoads {
    loads: SecondaryMap<EndpointKey, Arc<EndpointLoad>>,
}

impl EndpointLoads {
    /// Makes the snapshot for `catalog`, keeping what is known about endpoints that stay.
    pub fn for_catalog(&self, catalog: &Catalog) -> Self {
        let loads = catalog
            .endpoints
            .keys()
            .map(|key| (key, self.loads.get(key).cloned().unwrap_or_default()))
            .collect();
        Self { loads }
    }

    /// Returns what is known about an endpoint.
    pub fn get(&self, endpoint: EndpointKey) -> Option<&Arc<EndpointLoad>> {
        self.loads.get(endpoint)
    }

    /// Returns all endpoints with what is known about them.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Arc<EndpointLoad>)> {
        self.loads.iter()
    }
}
