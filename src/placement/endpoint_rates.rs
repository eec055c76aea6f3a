//! The rates that endpoints name, observed by this VM and by others.

use super::EndpointKey;
use super::EndpointTable;
use crate::clock::Monotonic;
use crate::fleet::EndpointRate;

impl EndpointTable {
    /// Records the rate that an endpoint named in an answer, in requests per second, or that it named
    /// none; returns whether this changed the rate in force.
    pub fn on_rate(&mut self, now: Monotonic, key: EndpointKey, rate_per_s: Option<f64>) -> bool {
        let Some(state) = self.endpoints.get_mut(key) else {
            return false;
        };
        let before = state.named_rate.in_force();
        state.named_rate.on_answer(now, rate_per_s);
        state.named_rate.in_force() != before
    }

    /// Adds the rates that another VM observed; returns the endpoints whose rate in force changed.
    pub fn on_peer_rates(
        &mut self,
        rates: impl IntoIterator<Item = EndpointRate>,
    ) -> Vec<EndpointKey> {
        let mut changed = Vec::new();
        for rate in rates {
            let mut endpoints = self.endpoints.iter_mut();
            let endpoint = endpoints.find(|(_, state)| state.instance_hash == rate.endpoint);
            let Some((key, state)) = endpoint else {
                continue;
            };
            let before = state.named_rate.in_force();
            state.named_rate.merge(rate.observation);
            if state.named_rate.in_force() != before {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns what is known of rates, for the other VMs of the region.
    pub fn rates(&self) -> Vec<EndpointRate> {
        let states = self.endpoints.values();
        let rates = states.filter_map(|state| {
            Some(EndpointRate {
                endpoint: state.instance_hash,
                observation: state.named_rate.observation()?,
            })
        });
        rates.collect()
    }
}
