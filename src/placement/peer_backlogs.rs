//! What the other VMs of the region have pending at the endpoints.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use super::backlog::Backlog;
use crate::clock::Monotonic;
use crate::fleet::EndpointBacklog;
use crate::fleet::NameHash;

/// The age at which the backlogs of a VM say nothing any more: a few rounds of gossip.
const AGE_MAX: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
struct Reported {
    at: Monotonic,
    backlogs: Vec<EndpointBacklog>,
}

/// The sums of what the other VMs of the region have pending at each endpoint.
///
/// It answers the load of many VMs on shared engines: each VM sends an engine a request every few
/// seconds, and would learn only from its own late answers that others keep that engine busy.
#[derive(Debug, Default)]
pub(super) struct PeerBacklogs {
    by_vm: HashMap<Ipv4Addr, Reported>,
    by_endpoint: HashMap<NameHash, Backlog>,
}

impl PeerBacklogs {
    /// Returns what other VMs have pending at an endpoint.
    pub(super) fn at(&self, endpoint: NameHash) -> Backlog {
        self.by_endpoint.get(&endpoint).copied().unwrap_or_default()
    }

    /// Replaces the backlogs that a VM reported.
    pub(super) fn replace(&mut self, now: Monotonic, ip: Ipv4Addr, backlogs: &[EndpointBacklog]) {
        if let Some(previous) = self.by_vm.remove(&ip) {
            self.subtract(&previous.backlogs);
        }
        if backlogs.is_empty() {
            return;
        }
        for backlog in backlogs {
            let sum = self.by_endpoint.entry(backlog.endpoint).or_default();
            sum.add(backlog.priority, backlog.prefill_tokens);
        }
        let backlogs = backlogs.to_vec();
        self.by_vm.insert(ip, Reported { at: now, backlogs });
    }

    /// Removes the backlogs of VMs that have reported none for a time.
    pub(super) fn remove_expired(&mut self, now: Monotonic) {
        let expired: Vec<Reported> = self
            .by_vm
            .extract_if(|_, reported| now.since(reported.at) > AGE_MAX)
            .map(|(_, reported)| reported)
            .collect();
        for reported in expired {
            self.subtract(&reported.backlogs);
        }
    }

    fn subtract(&mut self, backlogs: &[EndpointBacklog]) {
        for backlog in backlogs {
            let Some(sum) = self.by_endpoint.get_mut(&backlog.endpoint) else {
                continue;
            };
            sum.remove(backlog.priority, backlog.prefill_tokens);
            if sum.is_empty() {
                self.by_endpoint.remove(&backlog.endpoint);
            }
        }
    }
}
