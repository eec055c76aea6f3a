//! Weighted deficit round robin over the accounts of one class.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::account_flow::AccountFlow;
use super::drain_rate::DrainRate;
use crate::catalog::ClientAccountKey;
use crate::clock::Monotonic;

/// The account that a flow belongs to.
pub(super) type FlowKey = Option<ClientAccountKey>;

/// The oldest request of an account that can start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Startable {
    pub(super) flow: FlowKey,
    pub(super) slot: usize,
    pub(super) cost_tokens: u64,
}

/// The queue of one class of work.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    pub(super) flows: HashMap<FlowKey, AccountFlow>,
    /// Flows that had nothing waiting for a whole round; they go first, with one quantum.
    fresh: VecDeque<FlowKey>,
    ring: VecDeque<FlowKey>,
    pub(super) len: usize,
    pub(super) drain: DrainRate,
}

impl ClassQueue {
    /// Adds a request.
    pub(super) fn push(
        &mut self,
        now: Monotonic,
        key: FlowKey,
        weight: u32,
        slot: usize,
        cost: u64,
    ) {
        let flow = self.flows.entry(key).or_default();
        flow.weight = u64::from(weight.max(1));
        flow.drain.on_busy(now);
        flow.slots.push_back(slot);
        flow.queued_tokens += cost;
        if !flow.is_listed {
            flow.is_listed = true;
            flow.has_quantum = false;
            self.fresh.push_back(key);
        }
        self.len += 1;
        self.drain.on_busy(now);
    }

    /// Removes a request, wherever it is.
    pub(super) fn remove(&mut self, key: FlowKey, slot: usize, cost: u64) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Some(position) = flow.slots.iter().position(|other| *other == slot) else {
            return;
        };
        flow.slots.remove(position);
        flow.queued_tokens = flow.queued_tokens.saturating_sub(cost);
        self.len -= 1;
        if flow.slots.is_empty() {
            flow.deficit_tokens = 0;
            flow.has_quantum = false;
            flow.drain.on_idle();
        }
        if self.len == 0 {
            self.drain.on_idle();
            self.unlist_all();
        }
    }
    /// Notes that a request of an account starts.
    pub(super) fn on_started(&mut self, now: Monotonic, key: FlowKey, cost: u64) {
        self.drain.on_started(now, cost);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.drain.on_started(now, cost);
        }
    }

    /// Takes the next of the `startable` requests in the order of deficit round robin.
    ///
    /// An account that had nothing waiting goes before those that wait all the time, once a round
    /// (as in FQ-CoDel, RFC 8290), so that one within its share does not wait for a whole round.
    /// Accounts without a startable request keep their place and get no quantum.
    pub(super) fn select(
        &mut self,
        startable: &HashMap<FlowKey, Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        if startable.is_empty() {
            return None;
        }
        for _ in 0..2 {
            if let Some(chosen) = self.rotate(startable, quantum_tokens) {
                return Some(chosen);
            }
            self.skip_rounds(startable, quantum_tokens);
        }
        self.rotate(startable, quantum_tokens)
    }

    fn unlist_all(&mut self) {
        for key in self.fresh.drain(..).chain(self.ring.drain(..)) {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.is_listed = false;
            }
        }
    }

    /// Returns the accounts with a place in the rotation, in order.
    pub(super) fn listed(&self) -> impl Iterator<Item = &FlowKey> {
        self.fresh.iter().chain(&self.ring)
    }

    fn rotate(
        &mut self,
        startable: &HashMap<FlowKey, Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        if let Some(chosen) = self.rotate_fresh(startable, quantum_tokens) {
            return Some(chosen);
        }
        for _ in 0..=self.ring.len() {
            let key = *self.ring.front()?;
            let flow = self.flows.get_mut(&key)?;
            if flow.slots.is_empty() {
                flow.is_listed = false;
                self.ring.pop_front();
                continue;
            }
            if let Some(chosen) = flow.take(startable.get(&key), quantum_tokens) {
                return Some(chosen);
            }
            flow.has_quantum = false;
            self.ring.rotate_left(1);
        }
        None
    }

    /// Serves the flows that had nothing waiting; each has one quantum before it joins the others.
    fn rotate_fresh(
        &mut self,
        startable: &HashMap<FlowKey, Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        for _ in 0..self.fresh.len() {
            let key = self.fresh.pop_front()?;
            let flow = self.flows.get_mut(&key)?;
            let candidate = startable.get(&key);
            if let Some(chosen) = flow.take(candidate, quantum_tokens) {
                self.fresh.push_front(key);
                return Some(chosen);
            }
            if flow.slots.is_empty() || candidate.is_some() {
                flow.has_quantum = false;
                self.ring.push_back(key);
            } else {
                self.fresh.push_back(key);
            }
        }
        None
    }

    /// Grants the rounds in which no request could start, at once.
    fn skip_rounds(&mut self, startable: &HashMap<FlowKey, Startable>, quantum_tokens: u64) {
        let rounds = startable
            .values()
            .filter_map(|candidate| {
                let flow = self.flows.get(&candidate.flow)?;
                Some(flow.rounds_until(candidate.cost_tokens, quantum_tokens))
            })
            .min()
            .unwrap_or_default();
        for key in startable.keys() {
            if let Some(flow) = self.flows.get_mut(key) {
                flow.grant(quantum_tokens, rounds.saturating_sub(1));
            }
        }
    }
    /// Returns the expected wait of a request that an account adds now.
    ///
    /// Until the account's tokens, those of the request included, have started, each other account    /// starts as many for its weight, or all it has. What others add meanwhile shows in the rate at
    /// which the account's own requests have started, if some wait already. An account that goes first
    /// does not wait.
    pub(super) fn expected_wait(
        &self,
        now: Monotonic,
        key: FlowKey,
        weight: u32,
        cost: u64,
    ) -> Duration {
        let flow = self.flows.get(&key);
        if !flow.is_some_and(|flow| flow.is_listed) {
            return Duration::ZERO;
        }
        let own_tokens = flow.map_or(0, |flow| flow.queued_tokens);
        let ahead = own_tokens + self.others_ahead(key, weight, own_tokens + cost);
        let by_shares = drain_time(now, &self.drain, ahead);
        let by_own_rate = flow.map_or(Duration::ZERO, |flow| {
            drain_time(now, &flow.drain, own_tokens)
        });
        by_shares.max(by_own_rate)
    }

    /// Returns the time until all that waits has started.
    pub(super) fn backlog_wait(&self, now: Monotonic) -> Duration {
        let tokens = self.flows.values().map(|flow| flow.queued_tokens).sum();
        drain_time(now, &self.drain, tokens)
    }

    fn others_ahead(&self, key: FlowKey, weight: u32, own_tokens: u64) -> u64 {
        let weight = u64::from(weight.max(1));
        self.flows
            .iter()
            .filter(|(other, _)| **other != key)
            .map(|(_, flow)| {
                let part = own_tokens.saturating_mul(flow.weight) / weight;
                flow.queued_tokens.min(part)
            })
            .sum()
    }
    /// Returns when a refused request of an account should come back.
    ///
    /// Requests that were refused before it are expected back first, so each is told a later time.
    pub(super) fn return_after(
        &mut self,
        now: Monotonic,
        key: FlowKey,
        weight: u32,
        cost: u64,
        excess: Duration,
    ) -> Duration {
        let active_weight: u64 = self
            .flows
            .values()
            .filter(|flow| !flow.slots.is_empty())
            .map(|flow| flow.weight)
            .sum();
        let weight = u64::from(weight.max(1));
        let share_tokens = cost.saturating_mul(active_weight.max(weight)) / weight;
        let service = drain_time(now, &self.drain, share_tokens);
        let flow = self.flows.entry(key).or_default();
        let back_at = (now + excess).max(flow.return_at);
        flow.return_at = back_at + service;
        back_at.since(now)
    }

    /// Forgets accounts that have nothing in the queue and nothing expected back.
    pub(super) fn prune(&mut self, now: Monotonic) {
        self.flows
            .retain(|_, flow| flow.is_listed || flow.return_at > now);
    }
}

fn drain_time(now: Monotonic, drain: &DrainRate, tokens: u64) -> Duration {
    match drain.tokens_per_s(now) {
        Some(rate) => Duration::from_micros(tokens.saturating_mul(1_000_000) / rate),
        None => Duration::ZERO,
    }
}
