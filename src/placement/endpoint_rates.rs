//! The rates that endpoints name, observed by this VM and by others.

use super::named_rate::NamedRate;
use super::EndpointKey;
use super::EndpointState;
use super::EndpointTable;
use crate::clock::Monotonic;
use crate::fleet::EndpointRate;

/// What an endpoint limits by a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RateKind {
    /// Requests.
    Requests,
    /// Requests that it refuses for want of room.
    Refusals,
}

impl EndpointState {
    /// Returns the rate that the endpoint named, per second, while it is in force.
    pub fn rate_in_force_per_s(&self, kind: RateKind) -> Option<f64> {
        self.rate(kind).in_force()
    }

    const fn rate(&self, kind: RateKind) -> &NamedRate {
        match kind {
            RateKind::Requests => &self.named_rate,
            RateKind::Refusals => &self.brittleness.refusals,
        }
    }

    const fn rate_mut(&mut self, kind: RateKind) -> &mut NamedRate {
        match kind {
            RateKind::Requests => &mut self.named_rate,
            RateKind::Refusals => &mut self.brittleness.refusals,
        }
    }
}

impl EndpointTable {
    /// Records the rate per second that an endpoint named in an answer, or that it named none; returns
    /// whether this changed the rate in force.
    pub fn on_rate(
        &mut self,
        now: Monotonic,
        key: EndpointKey,
        kind: RateKind,
        rate_per_s: Option<f64>,
    ) -> bool {
        let Some(state) = self.endpoints.get_mut(key) else {
            return false;
        };
        let before = state.rate(kind).in_force();
        state.rate_mut(kind).on_answer(now, rate_per_s);
        state.rate(kind).in_force() != before
    }

    /// Adds the rates that another VM observed; returns the endpoints whose rate in force changed.
    pub fn on_peer_rates(
        &mut self,
        kind: RateKind,
        rates: impl IntoIterator<Item = EndpointRate>,
    ) -> Vec<EndpointKey> {
        let mut changed = Vec::new();
        for rate in rates {
            let mut endpoints = self.endpoints.iter_mut();
            let endpoint = endpoints.find(|(_, state)| state.instance_hash == rate.endpoint);
            let Some((key, state)) = endpoint else {
                continue;
            };
            let before = state.rate(kind).in_force();
            state.rate_mut(kind).merge(rate.observation);
            if state.rate(kind).in_force() != before {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns what is known of rates, for the other VMs of the region.
    pub fn rates(&self, kind: RateKind) -> Vec<EndpointRate> {
        let states = self.endpoints.values();
        let rates = states.filter_map(|state| {
            Some(EndpointRate {
                endpoint: state.instance_hash,
                observation: state.rate(kind).observation()?,
            })
        });
        rates.collect()
    }
}
