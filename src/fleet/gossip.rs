//! Whom a VM asks in a round of gossip, and which rows it hands on.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;
use rand::RngExt;

use super::FleetView;
use super::VmRow;
use crate::clock::Monotonic;

/// The VMs of the own region asked at random in a round, besides the reader of the region.
const FANOUT: usize = 2;

/// The questions of all VMs of a region to other regions, in a round: bytes between regions are
/// dear, and what one VM hears spreads in its region.
const FAR_QUESTIONS: f64 = 6.0;

/// The rows handed on in a message: with three questions a round, the VMs of a fleet of 120 are heard
/// of about once a second.
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
        let local_ip = view.local_row().ip;
        let local: Vec<Ipv4Addr> = view.alive_in(now, true).map(|row| row.ip).collect();
        let mut targets: BTreeSet<Ipv4Addr> = local
            .iter()
            .copied()
            .sample(rng, FANOUT)
            .into_iter()
            .collect();
        let far_probability = FAR_QUESTIONS / (local.len() + 1) as f64;
        if rng.random::<f64>() < far_probability {
            targets.extend(view.alive_in(now, false).map(|row| row.ip).choose(rng));
        }
        targets.insert(view.reader(now));
        let is_probe_due = self
            .probed_at
            .is_none_or(|at| view.alive_count(now) == 1 || now.since(at) >= PROBE_PERIOD);
        if is_probe_due {
            self.probed_at = Some(now);
            let alive: BTreeSet<Ipv4Addr> = view.alive(now).map(|row| row.ip).collect();
            targets.extend(self.seeds.iter().filter(|seed| !alive.contains(seed)));
            targets.extend(view.silent(now).choose(rng));
        }
        targets.remove(&local_ip);
        targets
    }

    /// Returns the rows for a message: the own one first, then others at random.
    ///
    /// A VM of another region is told of the own region first of all: nobody else is nearer to it.
    pub fn rows(now: Monotonic, view: &FleetView, to: Ipv4Addr, rng: &mut impl Rng) -> Vec<VmRow> {
        let mut rows = vec![view.local_row().clone()];
        let others = if view.is_in_local_region(to) {
            view.alive(now).sample(rng, ROWS_MAX)
        } else {
            let mut others = view.alive_in(now, true).sample(rng, ROWS_MAX / 2);
            others.extend(view.alive(now).sample(rng, ROWS_MAX / 2));
            others
        };
        rows.extend(others.into_iter().cloned());
        rows
    }
}
