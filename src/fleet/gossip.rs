//! Which VMs get a gossip request in a round, and which rows a message carries.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;
use rand::RngExt;

use super::FleetView;
use super::VmRow;
use crate::clock::Monotonic;

/// The number of random VMs of the local region that get a request in a round, besides the VM that
/// reads the store for the region.
const FANOUT: usize = 2;

/// The number of random VMs of the local region that get a request beside the rounds.
const PUSH_FANOUT: usize = 3;

/// The expected number of requests that all VMs of a region together send to remote regions in a
/// round: traffic between regions is expensive, and rows that one VM receives spread in its region.
const REMOTE_REQUESTS_PER_ROUND: f64 = 6.0;

/// The largest number of rows of other VMs in a message: with three requests a round, a VM of a
/// fleet of 120 receives a row of each other VM about once a second.
const ROWS_MAX: usize = 20;

/// The time between two requests to seeds and VMs that are silent.
const PROBE_PERIOD: Duration = Duration::from_millis(900);

/// Chooses the VMs that get a gossip request in each round.
#[derive(Debug)]
pub struct GossipPlan {
    seeds: Vec<Ipv4Addr>,
    probed_at: Option<Monotonic>,
}

impl GossipPlan {
    /// The time between two rounds.
    pub const PERIOD: Duration = Duration::from_millis(300);

    /// Creates the plan of a VM with the addresses of its seeds.
    pub fn new(seeds: impl IntoIterator<Item = Ipv4Addr>) -> Self {
        Self {
            seeds: seeds.into_iter().collect(),
            probed_at: None,
        }
    }

    /// Returns the VMs to send a request to in this round.
    ///
    /// Seeds that are not alive and one silent VM are probed from time to time, so that parts of a
    /// fleet find each other again after a network partition.
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
        let remote_probability = REMOTE_REQUESTS_PER_ROUND / (local.len() + 1) as f64;
        if rng.random::<f64>() < remote_probability {
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

    /// Returns the VMs of the region that get a request beside the rounds.
    pub fn push_targets(now: Monotonic, view: &FleetView, rng: &mut impl Rng) -> Vec<Ipv4Addr> {
        let local = view.alive_in(now, true).map(|row| row.ip);
        local.sample(rng, PUSH_FANOUT)
    }

    /// Returns the rows for a message: that of the local VM first, then others at random.
    ///
    /// For a VM of a remote region, half of them are drawn from the local region only, as its VMs
    /// have the newest ones. Backlogs concern the VMs of the endpoints' region only.
    pub fn rows(now: Monotonic, view: &FleetView, to: Ipv4Addr, rng: &mut impl Rng) -> Vec<VmRow> {
        let mut rows = vec![view.local_row().clone()];
        let is_local = view.is_in_local_region(to);
        let others = if is_local {
            view.alive(now).sample(rng, ROWS_MAX)
        } else {
            let mut others = view.alive_in(now, true).sample(rng, ROWS_MAX / 2);
            others.extend(view.alive(now).sample(rng, ROWS_MAX / 2));
            others
        };
        rows.extend(others.into_iter().cloned());
        if !is_local {
            for row in &mut rows {
                row.backlogs.clear();
                row.loads.clear();
            }
        }
        rows
    }
}
