//! The home regions of a request by the configuration in force.

use super::client_request::ClientRequest;
use crate::deployment::Deployment;
use crate::deployment::HomeRegions;
use crate::deployment::RegionKey;

/// The home regions of a request by one configuration.
#[derive(Clone, Debug)]
pub(super) struct RequestHomes {
    route: HomeRegions,
    account: HomeRegions,
}

impl RequestHomes {
    /// Returns the homes by a configuration that came into force after the request was accepted.
    ///
    /// What is no longer in it keeps the homes of the configuration by which it was accepted.
    pub(super) fn new(request: &ClientRequest, deployment: &Deployment) -> Self {
        let route = deployment.route_for(&request.host, request.uri.path());
        let key = request.head.api_key.as_deref();
        let account = key
            .filter(|_| request.account.is_some())
            .and_then(|key| deployment.account_for(key))
            .and_then(|key| deployment.account(key));
        Self {
            route: route.map_or(HomeRegions::Any, |(_, route)| route.home_regions.clone()),
            account: account.map_or(HomeRegions::Any, |account| account.home_regions.clone()),
        }
    }

    pub(super) fn allows(&self, region: RegionKey) -> bool {
        self.route.allows(region) && self.account.allows(region)
    }
}
