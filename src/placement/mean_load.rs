//! The mean load of an endpoint, from what it reports.

use std::num::NonZeroU32;

use super::load_estimate::Report;
use crate::fleet::EndpointLoad;
use crate::fleet::NameHash;

/// The weight of a new sample, one each round of gossip: some ten seconds are averaged.
const SAMPLE_WEIGHT: f64 = 0.03;

/// The number of reports before an estimate is given.
const REPORTS_MIN: u32 = 3;

/// The mean number of requests from which reports say something. Below, a constant report would pass for one
/// of an endpoint that no other VM uses.
const REQUESTS_MIN: f64 = 1.5;

/// A mean over time, of samples that come in some rounds.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value: f64,
    sample_count: u32,
    /// The round of the last sample.
    sampled_round: u32,
}

impl Mean {
    /// Adds the sample of a round; rounds are counted from 1. It stands for the rounds without one before it, so
    /// that means of different samples are over the same time.
    fn add(&mut self, round: u32, sample: u32) {
        let rounds = f64::from(round - self.sampled_round);
        let weight = rounds * SAMPLE_WEIGHT.max(1.0 / f64::from(round));
        self.value += weight.min(1.0) * (f64::from(sample) - self.value);
        self.sample_count = self.sample_count.saturating_add(1);
        self.sampled_round = round;
    }
}

/// The mean numbers of requests at an endpoint over some ten seconds, of this VM and of all VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MeanLoad {
    round: u32,
    total_requests: Mean,
    others_requests: Mean,
    local_requests: Mean,
}

impl MeanLoad {
    /// Adds the number of this VM's requests, and what the endpoint reported lately, if it did.
    ///
    /// Reports come with answers to this VM, so at times at which it has requests; its own number counts at all
    /// times.
    pub(super) fn add(&mut self, local_requests: u32, report: Option<Report>) {
        self.round = self.round.saturating_add(1);
        self.local_requests.add(self.round, local_requests);
        if let Some(report) = report {
            self.total_requests.add(self.round, report.total_requests);
            let others_requests = report.others_requests();
            self.others_requests.add(self.round, others_requests);
        }
    }

    /// Returns what this VM publishes of the endpoint.
    pub(super) fn published(&self, endpoint: NameHash) -> EndpointLoad {
        let is_telling = self.total_requests.sample_count >= REPORTS_MIN
            && self.total_requests.value >= REQUESTS_MIN;
        let total_requests = self.local_requests.value + self.others_requests.value;
        EndpointLoad {
            endpoint,
            local_centi: centi(self.local_requests.value),
            total_centi: NonZeroU32::new(centi(total_requests)).filter(|_| is_telling),
        }
    }
}

fn centi(requests: f64) -> u32 {
    (requests * 100.0).round() as u32
}
