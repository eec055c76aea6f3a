//! Which processes of endpoints may have ended, as this VM and others observed.

use std::net::SocketAddr;
use std::time::Duration;

use super::endpoint_state::rendezvous_key;
use super::EndpointKey;
use super::EndpointState;
use super::EndpointTable;
use super::ProcessSighting;
use crate::clock::Monotonic;
use crate::fleet::EndpointEnd;
use crate::fleet::EndpointSighting;
use crate::quarantine::InstanceHash;

/// The time in which the other connections to a process are closed as well if it has ended.
pub const LOST_CONNECTIONS_TIME: Duration = Duration::from_millis(60);

/// The number of endpoints that a VM watches at most.
const WATCHED_MAX: usize = 64;

impl EndpointState {
    /// Records that the process may have ended; returns whether it did not count as ended.
    pub(super) fn on_ended(&mut self, at: Monotonic, is_certain: bool) -> bool {
        if is_certain {
            self.version_doubt.on_ended(at);
        }
        self.possible_restart.on_ended(at, is_certain)
    }

    fn on_answered(&mut self, opened_at: Monotonic, sent_at: Monotonic) {
        let seen = ProcessSighting {
            since: opened_at,
            seen_at: sent_at,
        };
        let sighting = self.sighting.map_or(seen, |before| before.extended(seen));
        self.sighting = Some(sighting);
        self.reported.on_answered(opened_at, sent_at);
        self.possible_restart.on_sighting(sighting);
        if self.possible_restart.on_answered(opened_at) {
            self.version_doubt.on_ended(opened_at);
        }
    }

    /// Returns what other VMs should know of the end of the process, and of the return of the next one; `None`
    /// once that one is warm.
    fn reported_end(&self, now: Monotonic) -> Option<EndpointEnd> {
        let end = self.possible_restart.end()?;
        let is_due = match end.returned_at {
            Some(returned_at) => now < returned_at + self.cold_start,
            None => end.is_certain || end.at + LOST_CONNECTIONS_TIME <= now,
        };
        is_due.then_some(EndpointEnd {
            endpoint: self.instance_hash,
            end,
        })
    }
}

impl EndpointTable {
    /// Returns the endpoint at an address; `None` if none is listed there.
    pub fn at_address(&self, address: SocketAddr) -> Option<EndpointKey> {
        let mut endpoints = self.endpoints.iter();
        let endpoint = endpoints.find(|(_, state)| state.record.address == address);
        endpoint.map(|(key, _)| key)
    }

    /// Records that an endpoint closed a connection unannounced, so that its process may have ended; returns
    /// whether it did not count as ended.
    pub fn on_connection_lost(&mut self, now: Monotonic, key: EndpointKey) -> bool {
        let state = self.endpoints.get_mut(key);
        state.is_some_and(|state| state.on_ended(now, false))
    }

    /// Takes back an end that was concluded from a connection lost at this time, as others that were opened
    /// before are still open.
    pub fn on_connections_kept(&mut self, key: EndpointKey, lost_at: Monotonic) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.possible_restart.on_refuted(lost_at);
        }
    }

    /// Records that an endpoint answered a request that was sent at `sent_at` over a connection that was opened
    /// at `opened_at`.
    pub fn on_answered_over(&mut self, key: EndpointKey, opened_at: Monotonic, sent_at: Monotonic) {
        if let Some(state) = self.endpoints.get_mut(key) {
            state.on_answered(opened_at, sent_at);
        }
    }

    /// Returns the endpoints whose processes this VM watches, by the rendezvous keys of their instances.
    pub fn watched(&self, is_selected: impl Fn(u64) -> bool) -> Vec<(EndpointKey, SocketAddr)> {
        let limited_when_cold = self
            .endpoints
            .iter()
            .filter(|(_, state)| !state.cold_start.is_zero() && state.takes_requests());
        let watched = limited_when_cold
            .filter(|(_, state)| is_selected(rendezvous_key(&state.record.instance)));
        watched
            .map(|(key, state)| (key, state.record.address))
            .take(WATCHED_MAX)
            .collect()
    }

    /// Records that a connection to an endpoint was opened, so that its process has started before.
    pub fn on_connected(&mut self, key: EndpointKey, opened_at: Monotonic) {
        if let Some(state) = self.endpoints.get_mut(key) {
            if state.possible_restart.on_answered(opened_at) {
                state.version_doubt.on_ended(opened_at);
            }
        }
    }

    /// Records that an endpoint refused a connection; returns whether its process did not count as ended.
    pub fn on_connection_refused(&mut self, now: Monotonic, key: EndpointKey) -> bool {
        let state = self.endpoints.get_mut(key);
        state.is_some_and(|state| state.on_ended(now, true))
    }

    /// Returns whether the process of an endpoint may have ended since a time.
    pub fn may_have_ended_since(&self, key: EndpointKey, at: Monotonic) -> bool {
        let Some(state) = self.endpoints.get(key) else {
            return false;
        };
        let end = state.possible_restart.end();
        !state.cold_start.is_zero() && end.is_some_and(|end| end.last_at() > at)
    }

    /// Records that the listing was confirmed.
    pub fn on_listing_confirmed(&mut self, confirmed_at: Monotonic) {
        self.listing_run.on_confirmed(confirmed_at);
        let run = self.listing_run;
        for state in self.endpoints.values_mut() {
            let restart = &mut state.possible_restart;
            restart.on_listing_confirmed(run.since, run.confirmed_at);
        }
    }

    /// Returns the ends of processes that other VMs of the region should know of.
    pub fn ends(&self, now: Monotonic) -> Vec<EndpointEnd> {
        let states = self.endpoints.values();
        states.filter_map(|state| state.reported_end(now)).collect()
    }

    /// Adds the ends that another VM reported; returns the endpoints that did not count as ended.
    ///
    /// `has_kept_connection` returns whether this VM has a connection to an address that was opened before a
    /// time and is still open. It tells more than what another VM concluded from a lost one.
    pub fn on_peer_ends(
        &mut self,
        ends: impl IntoIterator<Item = EndpointEnd>,
        has_kept_connection: impl Fn(SocketAddr, Monotonic) -> bool,
    ) -> Vec<EndpointKey> {
        let mut ended = Vec::new();
        let run = self.listing_run;
        for reported in ends {
            let mut endpoints = self.endpoints.iter_mut();
            let endpoint = endpoints.find(|(_, state)| state.instance_hash == reported.endpoint);
            let Some((key, state)) = endpoint else {
                continue;
            };
            let end = reported.end;
            let is_refuted = !end.is_certain
                && (has_kept_connection(state.record.address, end.at)
                    || state.sighting.is_some_and(|seen| seen.covers(end.at)));
            if is_refuted {
                continue;
            }
            let restart = &mut state.possible_restart;
            let is_new = restart.on_reported(end);
            restart.on_listing_confirmed(run.since, run.confirmed_at);
            if is_new && restart.end().is_some() {
                if end.is_certain {
                    state.version_doubt.on_ended(end.at);
                }
                ended.push(key);
            }
        }
        ended
    }

    /// Returns for how long this VM has seen the present processes of some endpoints.
    pub fn sightings(
        &self,
        endpoints: impl IntoIterator<Item = InstanceHash>,
    ) -> Vec<EndpointSighting> {
        let sightings = endpoints.into_iter().filter_map(|endpoint| {
            let mut states = self.endpoints.values();
            let state = states.find(|state| state.instance_hash == endpoint)?;
            Some(EndpointSighting {
                endpoint,
                sighting: state.sighting?,
            })
        });
        sightings.collect()
    }

    /// Takes back ends that are not certain, by what another VM has seen.
    pub fn on_peer_sightings(&mut self, sightings: impl IntoIterator<Item = EndpointSighting>) {
        for seen in sightings {
            let mut states = self.endpoints.values_mut();
            if let Some(state) = states.find(|state| state.instance_hash == seen.endpoint) {
                state.possible_restart.on_sighting(seen.sighting);
            }
        }
    }
}
