//! Whether the VMs that are known are all that load the region's endpoints.

use super::EndpointLoad;
use super::FleetView;
use super::NameHash;
use super::VmRow;
use crate::clock::Monotonic;

/// The load of all VMs as a multiple of that of the known ones, up to which these are all: requests see endpoints
/// that are busier than on average, and what VMs publish is seconds old. Of several groups at most one
/// has five ninths of the load.
const UNACCOUNTED_MAX: f64 = 1.8;

/// Mean numbers of requests at endpoints.
#[derive(Clone, Copy, Debug)]
struct Requests {
    /// Those of all VMs, by the reports of the endpoints; zero if they say too little.
    total: f64,
    /// Those of the VMs that are alive, this one included.
    of_alive: f64,
    /// Those of the VMs that are known, even if silent, this one included.
    of_known: f64,
}

/// How far the VMs of a region that are known account for the load of a service's endpoints.
///
/// It answers a fleet that is cut into groups: a VM hears only those of its group, but the endpoints report the
/// requests of all VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KnownLoad {
    /// The requests of all VMs as a multiple of those of the live ones.
    pub alive_ratio: f64,
    /// The requests of all VMs as a multiple of those of the known ones, silent ones included.
    pub known_ratio: f64,
}

impl KnownLoad {
    /// Returns whether the live VMs are all that load the endpoints.
    pub fn is_accounted_for(&self) -> bool {
        // VMs run no more requests than all VMs do, unless the reports are wrong.
        let is_plausible = self.alive_ratio * UNACCOUNTED_MAX >= 1.0;
        is_plausible && self.alive_ratio <= UNACCOUNTED_MAX
    }

    /// Returns by how many VMs something is to be divided that so many known VMs share.
    pub fn with_unknown(&self, vms: usize) -> usize {
        match self.has_unknown() {
            true => (vms as f64 * self.known_ratio).ceil() as usize,
            false => vms,
        }
    }

    /// Returns whether VMs that are not known load the endpoints.
    pub(super) fn has_unknown(&self) -> bool {
        self.known_ratio > UNACCOUNTED_MAX
    }
}

impl FleetView {
    /// Returns how far the known VMs account for the load of a service; `None` unless a majority of its
    /// endpoints report more than a little. Others may use those of which a group knows nothing, and any two
    /// majorities have an endpoint in common.
    pub fn known_load(&self, now: Monotonic, service: NameHash) -> Option<KnownLoad> {
        let local = loads_of(&self.local_row, service);
        let at_endpoints = local
            .iter()
            .map(|load| self.requests_at(now, service, load));
        let reported: Vec<Requests> = at_endpoints
            .filter(|requests| requests.total > 0.0 && requests.of_alive > 0.0)
            .collect();
        let sum = |part: fn(&Requests) -> f64| reported.iter().map(part).sum::<f64>();
        let total = sum(|requests| requests.total);
        (reported.len() * 2 > local.len()).then(|| KnownLoad {
            alive_ratio: total / sum(|requests| requests.of_alive),
            known_ratio: total / sum(|requests| requests.of_known),
        })
    }

    fn requests_at(&self, now: Monotonic, service: NameHash, local: &EndpointLoad) -> Requests {
        let of_endpoint = |row| {
            let loads = loads_of(row, service).iter();
            loads.copied().find(|load| load.endpoint == local.endpoint)
        };
        let alive = self.alive_in(now, true).filter_map(of_endpoint);
        let alive: Vec<EndpointLoad> = alive.chain([*local]).collect();
        let totals = alive.iter().filter_map(|load| load.total_centi);
        let totals: Vec<f64> = totals.map(|total| requests(total.get())).collect();
        let known = self.known().filter_map(of_endpoint).chain([*local]);
        Requests {
            total: totals.iter().sum::<f64>() / totals.len().max(1) as f64,
            of_alive: alive.iter().map(|load| requests(load.local_centi)).sum(),
            of_known: known.map(|load| requests(load.local_centi)).sum(),
        }
    }
}

/// Returns the endpoints of a service in a row; only rows of the local region have any.
fn loads_of(row: &VmRow, service: NameHash) -> &[EndpointLoad] {
    let load = row.loads.iter().find(|load| load.service == service);
    load.map_or(&[], |load| &load.endpoints)
}

fn requests(centi: u32) -> f64 {
    f64::from(centi) / 100.0
}
