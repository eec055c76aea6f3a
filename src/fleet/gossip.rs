//! Whom a VM asks in a round of gossip, and which rows it hands on.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::FleetView;
use super::VmRow;
use crate::clock::Monotonic;

/// The VMs asked at random in a round, besides the reader of the region.
const FANOUT: usize = 2;

/// The rows handed on in a message: with three questions a round, all VMs of a fleet of 120 are
/// heard of about once a second.
const ROWS_MAX: usize = 20;

/// The pause between two questions to seeds and VMs that are silent.
const PROBE_PERIOD: Duration = Duration::from_millis(900);

/// Whom a VM asks in each round.
#[derive(Debug)]
pub struct GossipPlan {
    seeds: Vec<Ipv4Addr>,
    probed_at: Option<Monotonic>,
}

impl GossipPlan {
    /// The pause between two rounds.
    pub const PERIOD: Duration = Duration::from_millis(300);

    /// Creates the plan of a VM with its seeds.
    pub fn new(seeds: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            probed_at: None,
        }
    }

    /// Returns the VMs to ask in this round.
    ///
    /// Seeds that are not known to live and one silent VM are asked at times, so that parts of a
    /// fleet that were cut off from each other meet again.
    pub fn targets(
        &mut self,
        now: Monotonic,
        view: &FleetView,
        rng: &mut impl Rng,
    ) -> BTreeSet<Ipv4Addr> {
        let own = view.own().ip;
        let alive: Vec<Ipv4Addr> = view.alive(now).map(|row| row.ip).collect();
        let mut targets: BTreeSet<Ipv4Addr> = alive
            .iter()
            .copied()
            .sample(rng, FANOUT)
            .into_iter()
            .collect();
        targets.insert(view.reader(now));
        let is_probe_due = self
            .probed_at
            .is_none_or(|at| alive.is_empty() || now.since(at) >= PROBE_PERIOD);
        if is_probe_due {
            self.probed_at = Some(now);
            let seeds = self.seeds.iter().filter(|seed| !alive.contains(seed));
            targets.extend(seeds);
            targets.extend(view.silent(now).choose(rng));
        }
        targets.remove(&own);
        targets
    }

    /// Returns the rows for a message: the own one first, then others at random.
    pub fn rows(now: Monotonic, view: &FleetView, rng: &mut impl Rng) -> Vec<VmRow> {
        let mut rows = vec![view.own().clone()];
        rows.extend(view.alive(now).sample(rng, ROWS_MAX).into_iter().cloned());
        rows
    }
}
