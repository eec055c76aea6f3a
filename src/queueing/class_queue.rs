//! Weighted deficit round robin over the accounts of one class.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::account_flow::AccountFlow;
use super::drain_rate::DrainRate;
use crate::catalog::ClientAccountKey;
use crate::clock::Monotonic;

/// The account of a flow; `None` for requests without a key.
pub(super) type FlowKey = Option<ClientAccountKey>;

/// The oldest request of an account that can start now.
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
    /// Flows that were out of the rotation; they are served first, for one quantum.
    new_flows: VecDeque<FlowKey>,
    /// All other flows in the rotation.
    old_flows: VecDeque<FlowKey>,
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
        if !flow.is_in_rotation {
            flow.is_in_rotation = true;
            flow.has_quantum = false;
            self.new_flows.push_back(key);
        }
        self.len += 1;
        self.drain.on_busy(now);
    }

    /// Removes a request at any position.
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
            self.clear_rotation();
        }
    }

    /// Records that a request of an account starts.
    pub(super) fn on_started(&mut self, now: Monotonic, key: FlowKey, cost: u64) {
        self.drain.on_started(now, cost);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.drain.on_started(now, cost);
        }
    }

    /// Takes the next of the `startable` requests in the order of deficit round robin.
    ///
    /// An account that had nothing waiting is served before those with a constant backlog, once a
    /// round (as in FQ-CoDel, RFC 8290), so that an account within its share does not wait for a
    /// whole round. Accounts without a startable request keep their position and get no quantum.
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

    fn clear_rotation(&mut self) {
        for key in self.new_flows.drain(..).chain(self.old_flows.drain(..)) {
            if let Some(flow) = self.flows.get_mut(&key) {
                flow.is_in_rotation = false;
            }
        }
    }

    /// Returns the accounts in the rotation, in order.
    pub(super) fn rotation(&self) -> impl Iterator<Item = &FlowKey> {
        self.new_flows.iter().chain(&self.old_flows)
    }

    fn rotate(
        &mut self,
        startable: &HashMap<FlowKey, Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        if let Some(chosen) = self.rotate_new_flows(startable, quantum_tokens) {
            return Some(chosen);
        }
        for _ in 0..=self.old_flows.len() {
            let key = *self.old_flows.front()?;
            let flow = self.flows.get_mut(&key)?;
            if flow.slots.is_empty() {
                flow.is_in_rotation = false;
                self.old_flows.pop_front();
                continue;
            }
            if let Some(chosen) = flow.take(startable.get(&key), quantum_tokens) {
                return Some(chosen);
            }
            flow.has_quantum = false;
            self.old_flows.rotate_left(1);
        }
        None
    }

    /// Serves the new flows; each has one quantum before it joins the old flows.
    fn rotate_new_flows(
        &mut self,
        startable: &HashMap<FlowKey, Startable>,
        quantum_tokens: u64,
    ) -> Option<Startable> {
        for _ in 0..self.new_flows.len() {
            let key = self.new_flows.pop_front()?;
            let flow = self.flows.get_mut(&key)?;
            let candidate = startable.get(&key);
            if let Some(chosen) = flow.take(candidate, quantum_tokens) {
                self.new_flows.push_front(key);
                return Some(chosen);
            }
            if flow.slots.is_empty() || candidate.is_some() {
                flow.has_quantum = false;
                self.old_flows.push_back(key);
            } else {
                self.new_flows.push_back(key);
            }
        }
        None
    }

    /// Adds the quanta of all rounds in which no request could start, in one step.
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
                flow.add_quanta(quantum_tokens, rounds.saturating_sub(1));
            }
        }
    }

    /// Returns the expected wait of a request that an account adds now.
    ///
    /// Until the tokens of the account, including the new request, have started, each other account
    /// starts as many in proportion to its weight, or all that it has queued. Requests that others
    /// add meanwhile are covered by the rate at which the account's own requests have started, if
    /// some wait already. An account outside the rotation is served first and does not wait.
    pub(super) fn expected_wait(
        &self,
        now: Monotonic,
        key: FlowKey,
        weight: u32,
        cost: u64,
    ) -> Duration {
        let flow = self.flows.get(&key);
        if !flow.is_some_and(|flow| flow.is_in_rotation) {
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

    /// Returns the expected time until all waiting requests have started.
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

    /// Returns the time after which the client of a refused request should retry.
    ///
    /// Requests that were refused earlier are retried first, so each one gets a later time.
    pub(super) fn retry_after(
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
        let retry_at = (now + excess).max(flow.next_retry_at);
        flow.next_retry_at = retry_at + service;
        retry_at.since(now)
    }

    /// Removes accounts that are out of the rotation and have no pending retry time.
    pub(super) fn prune(&mut self, now: Monotonic) {
        self.flows
            .retain(|_, flow| flow.is_in_rotation || flow.next_retry_at > now);
    }
}

fn drain_time(now: Monotonic, drain: &DrainRate, tokens: u64) -> Duration {
    match drain.tokens_per_s(now) {
        Some(rate) => Duration::from_micros(tokens.saturating_mul(1_000_000) / rate),
        None => Duration::ZERO,
    }
}
