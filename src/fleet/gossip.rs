//! Which VMs get a gossip request in a round, and which rows a message carries.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;
use rand::RngExt;

use super::FleetView;
use super::PeerDistance;
use super::VmRow;
use crate::clock::Monotonic;

/// The number of random VMs of the local region that get a request in a round, besides the VM that
/// reads the store for the region or relays what it read to the zone.
const FANOUT: usize = 2;

/// The expected number of these requests that all VMs of a zone together send to other zones of the region in a round:
/// rows that a few VMs receive spread in their zone.
const OTHER_ZONE_REQUESTS_PER_ROUND: f64 = 4.0;

/// The least part of them: in a large zone, the rows of another one would be too old otherwise.
const OTHER_ZONE_SHARE_MIN: f64 = 0.1;

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
        let mut targets = Self::local_targets(now, view, rng);
        let remote_probability = REMOTE_REQUESTS_PER_ROUND / (local.len() + 1) as f64;
        if rng.random::<f64>() < remote_probability {
            targets.extend(view.alive_in(now, false).map(|row| row.ip).choose(rng));
        }
        targets.insert(view.reader_nearby(now));
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

    /// Returns random VMs of the region, mostly of the local zone.
    fn local_targets(now: Monotonic, view: &FleetView, rng: &mut impl Rng) -> BTreeSet<Ipv4Addr> {
        let zone = view.local_row().zone;
        let (own, others): (Vec<&VmRow>, Vec<&VmRow>) =
            view.alive_in(now, true).partition(|row| row.zone == zone);
        let sent_by_zone = FANOUT as f64 * (own.len() + 1) as f64;
        let other_probability =
            OTHER_ZONE_SHARE_MIN.max(OTHER_ZONE_REQUESTS_PER_ROUND / sent_by_zone);
        let other_count = match (own.len(), others.len()) {
            (_, 0) => 0,
            (0..FANOUT, _) => FANOUT - own.len(),
            _ => (0..FANOUT)
                .filter(|_| rng.random::<f64>() < other_probability)
                .count(),
        };
        let mut targets = own.into_iter().sample(rng, FANOUT - other_count);
        targets.extend(others.into_iter().sample(rng, other_count));
        targets.into_iter().map(|row| row.ip).collect()
    }

    /// Returns the VMs of the region that get a request beside the rounds.
    pub fn push_targets(now: Monotonic, view: &FleetView, rng: &mut impl Rng) -> Vec<Ipv4Addr> {
        let local = view.alive_in(now, true).map(|row| row.ip);
        local.sample(rng, PUSH_FANOUT)
    }

    /// Returns the rows for a message: that of the local VM first, then others at random.
    ///
    /// For a VM of another zone or region, half of them are drawn from the local one only, as its VMs
    /// have the newest ones. Backlogs concern the VMs of the endpoints' region only.
    pub fn rows(now: Monotonic, view: &FleetView, to: Ipv4Addr, rng: &mut impl Rng) -> Vec<VmRow> {
        let mut rows = vec![view.local_row().clone()];
        let is_local = view.is_in_local_region(to);
        let near: Vec<&VmRow> = match view.distance(to) {
            PeerDistance::SameZone => Vec::new(),
            PeerDistance::SameRegion => {
                let zone = view.local_row().zone;
                view.alive(now).filter(|row| row.zone == zone).collect()
            }
            PeerDistance::OtherRegion => view.alive_in(now, true).collect(),
        };
        let mut others = near.into_iter().sample(rng, ROWS_MAX / 2);
        let any_count = match view.distance(to) {
            PeerDistance::SameZone | PeerDistance::SameRegion => ROWS_MAX - others.len(),
            PeerDistance::OtherRegion => ROWS_MAX / 2,
        };
        others.extend(view.alive(now).sample(rng, any_count));
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
