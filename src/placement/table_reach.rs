//! Which endpoints of the region this VM reaches.

use std::net::SocketAddr;

use super::EndpointKey;
use super::EndpointState;
use super::EndpointTable;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;

impl EndpointTable {
    /// Returns the addresses of the endpoints that accept requests in the local region.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        let states = self.endpoints.values();
        states
            .filter(|state| state.takes_requests())
            .map(|state| state.record.address)
    }

    /// Returns whether this VM may have to leave a service's endpoints of the local region to other VMs:
    /// some accept requests, at a software version if one is given, and this VM has failed to reach each
    /// of them.
    pub fn is_out_of_reach(
        &self,
        now: Monotonic,
        service: &Name,
        version: Option<SoftwareVersion>,
    ) -> bool {
        let mut endpoints = self.accepting(service, version).peekable();
        endpoints.peek().is_some() && endpoints.all(|state| state.health.is_unreachable(now))
    }

    /// Returns whether an endpoint of a service accepts requests in the local region, at a software
    /// version if one is given.
    pub fn serves_version(&self, service: &Name, version: Option<SoftwareVersion>) -> bool {
        self.accepting(service, version).next().is_some()
    }

    /// Returns whether an endpoint of a service accepts requests in the local region, at a software
    /// version if one is given, other than those that `is_excluded` names.
    pub fn serves_beside(
        &self,
        service: &Name,
        version: Option<SoftwareVersion>,
        is_excluded: impl Fn(EndpointKey) -> bool,
    ) -> bool {
        self.of_service(service).any(|(key, state)| {
            state.takes_requests()
                && (version.is_none() || state.record.version == version)
                && !is_excluded(key)
        })
    }

    fn accepting<'a>(
        &'a self,
        service: &Name,
        version: Option<SoftwareVersion>,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let states = self.of_service(service).map(|(_, state)| state);
        states.filter(move |state| {
            state.takes_requests() && (version.is_none() || state.record.version == version)
        })
    }

    /// Forgets the failures to reach endpoints, after the links to all of them had failed.
    pub fn on_reached_again(&mut self) {
        for state in self.endpoints.values_mut() {
            state.health.forget_unreachable();
        }
    }
}
