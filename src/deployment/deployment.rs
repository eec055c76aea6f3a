//! One version of the configuration, indexed for serving requests.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use slotmap::SecondaryMap;
use slotmap::SlotMap;

use super::AccountKey;
use super::AccountPolicy;
use super::ClientLimits;
use super::RequestRanks;
use super::RetrySafety;
use super::RouteKey;
use super::ServedRoute;
use super::ServiceKey;
use super::ServiceProfile;
use crate::catalog::Name;

/// The shortest time after which no client takes a stream up any more.
const STREAM_LIFETIME_MIN: Duration = Duration::from_secs(10);

/// One version of the configuration, with routes indexed by host and accounts by API key.
#[derive(Debug, Default)]
pub struct Deployment {
    version: u64,
    routes: SlotMap<RouteKey, ServedRoute>,
    hosts: HashMap<Box<str>, Vec<RouteKey>>,
    services: SlotMap<ServiceKey, ServiceProfile>,
    accounts: SlotMap<AccountKey, AccountPolicy>,
    api_keys: HashMap<Box<str>, AccountKey>,
    ranks: SecondaryMap<ServiceKey, RequestRanks>,
    limits: ClientLimits,
}

impl Deployment {
    /// Returns the version of the configuration.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on client requests and connections.
    pub const fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route of a lowercase host with the longest prefix of a path.
    pub fn route_for(&self, host: &str, path: &str) -> Option<(RouteKey, &ServedRoute)> {
        self.hosts
            .get(host)?
            .iter()
            .map(|key| (*key, &self.routes[*key]))
            .find(|(_, route)| path.starts_with(&*route.path_prefix))
    }

    /// Returns a route; a key of another version may be that of another route here.
    pub fn route(&self, key: RouteKey) -> Option<&ServedRoute> {
        self.routes.get(key)
    }

    /// Returns the client account that holds an API key.
    pub fn account_for(&self, api_key: &str) -> Option<AccountKey> {
        self.api_keys.get(api_key).copied()
    }

    /// Returns a client account; a key of another version may be that of another account here.
    pub fn account(&self, key: AccountKey) -> Option<&AccountPolicy> {
        self.accounts.get(key)
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &AccountPolicy> {
        self.accounts.values()
    }

    /// Returns whether requests to routes that are not public need an API key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Returns a service; a key of another version may be that of another service here.
    pub fn service(&self, key: ServiceKey) -> Option<&ServiceProfile> {
        self.services.get(key)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceProfile> {
        self.services.values()
    }

    /// Returns the rank of an account's requests on a route at the endpoints of a service, 0 the most urgent;
    /// `account` is `None` without one.
    ///
    /// Endpoints that are no engines serve requests in the order of arrival: all have the same rank there.
    pub fn rank(
        &self,
        service: ServiceKey,
        account: Option<&AccountPolicy>,
        route: &ServedRoute,
    ) -> u8 {
        let priority = account.and_then(|account| account.priority);
        let ranks = self.ranks.get(service);
        ranks.map_or(0, |ranks| ranks.rank(priority, route.priority))
    }

    /// Returns how long endpoints of a service are cold after their start; zero if the service has
    /// no limit for cold endpoints.
    pub fn cold_start(&self, service: &Name) -> Duration {
        let profiles = self.services();
        profiles
            .filter(|profile| profile.name == *service && profile.cold_rate_per_s > 0.0)
            .map(|profile| profile.cold_start)
            .next()
            .unwrap_or_default()
    }

    /// Returns how long after its first event a client may take a stream up: the longest time for which
    /// the VMs and the client, one after the other, may keep it, and never less than 10 s.
    pub fn stream_lifetime(&self) -> Duration {
        let streams = self.routes.values();
        let timeouts = streams
            .filter(|route| route.retry_safety == RetrySafety::ResumableStream)
            .map(|route| route.timeout);
        (timeouts.max().unwrap_or_default() * 2).max(STREAM_LIFETIME_MIN)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

/// Builds a [`Deployment`].
#[derive(Debug, Default)]
pub struct DeploymentBuilder {
    deployment: Deployment,
    service_keys: HashMap<Name, ServiceKey>,
}

impl DeploymentBuilder {
    /// Creates the builder of an empty deployment.
    pub fn new(version: u64, limits: ClientLimits) -> Self {
        let deployment = Deployment {
            version,
            limits,
            ..Deployment::default()
        };
        Self {
            deployment,
            service_keys: HashMap::new(),
        }
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceProfile) -> ServiceKey {
        let name = service.name.clone();
        let key = self.deployment.services.insert(service);
        self.service_keys.insert(name, key);
        key
    }

    /// Returns the key of a service that was added before.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        let name = Name::new(name).ok()?;
        self.service_keys.get(&name).copied()
    }

    /// Adds a route of a host, whose name is not case-sensitive.
    pub fn add_route(&mut self, host: &str, route: ServedRoute) -> RouteKey {
        let key = self.deployment.routes.insert(route);
        self.deployment
            .hosts
            .entry(host.to_ascii_lowercase().into())
            .or_default()
            .push(key);
        key
    }

    /// Adds a client account with its API keys.
    pub fn add_account(
        &mut self,
        account: AccountPolicy,
        api_keys: impl IntoIterator<Item = String>,
    ) -> AccountKey {
        let key = self.deployment.accounts.insert(account);
        for api_key in api_keys {
            self.deployment.api_keys.insert(api_key.into(), key);
        }
        key
    }

    /// Orders the routes of each host by the length of their prefix, and the requests for each service by urgency,
    /// and returns the deployment.
    pub fn build(mut self) -> Deployment {
        self.deployment.ranks = self.ranks();
        let routes = &self.deployment.routes;
        for keys in self.deployment.hosts.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].path_prefix.len()));
        }
        self.deployment
    }

    fn ranks(&self) -> SecondaryMap<ServiceKey, RequestRanks> {
        let routes = |service| {
            let routes = self.deployment.routes.values();
            routes.filter(move |route| {
                let mut services = route.services.iter();
                services.any(|part| part.service == service)
            })
        };
        let accounts = self.deployment.accounts.values();
        let accounts: BTreeSet<Option<u8>> = accounts.map(|account| account.priority).collect();
        let engines = self.deployment.services.iter();
        let engines = engines.filter(|(_, service)| service.is_engine);
        let services = engines.map(|(key, _)| key);
        let ranks = services.map(|service| {
            let is_any_public = routes(service).any(|route| route.is_public);
            let without_account = is_any_public || self.deployment.accounts.is_empty();
            let accounts = accounts.iter().copied();
            let accounts = accounts.chain(without_account.then_some(None));
            let priorities = routes(service).map(|route| route.priority);
            (service, RequestRanks::new(accounts, priorities))
        });
        ranks.collect()
    }
}
