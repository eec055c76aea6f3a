//! A fleet whose VMs share a rate limit by gossip alone, in virtual time.

use std::time::Duration;

use figramp::catalog::Name;
use figramp::clock::Monotonic;
use figramp::deployment::AccountPolicy;
use figramp::deployment::ClientLimits;
use figramp::deployment::Deployment;
use figramp::deployment::DeploymentBuilder;
use figramp::deployment::HomeRegions;
use figramp::fleet::VmRow;
use figramp::quota::QuotaLimiter;

use crate::fleet::support::row;

const RATE_PER_S: f64 = 300_000.0;
const OVERAGE: f64 = 0.25;
const SLACK: f64 = 190_000.0;
const WINDOW_S: usize = 8;
const UNITS: u64 = 400;

fn account() -> AccountPolicy {
    AccountPolicy {
        name: Name::new("large").expect("a name"),
        priority: None,
        rate_per_s: Some(RATE_PER_S),
        burst: RATE_PER_S,
        is_counted_in_tokens: true,
        undeclared_tokens: 200,
        home_regions: HomeRegions::Any,
    }
}

fn deployment() -> Deployment {
    let mut builder = DeploymentBuilder::new(1, ClientLimits::default());
    builder.add_account(account(), Vec::new());
    builder.build()
}

struct Fleet {
    limiters: Vec<QuotaLimiter>,
    incarnations: Vec<u64>,
    deployment: Deployment,
    /// The units admitted in each tenth of a second.
    admitted: Vec<u64>,
    now: Monotonic,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let deployment = deployment();
        let now = Monotonic::from_ms(1);
        let limiters = (0..count).map(|_| new_limiter(now, &deployment));
        let mut fleet = Self {
            limiters: limiters.collect(),
            incarnations: vec![1; count],
            deployment,
            admitted: Vec::new(),
            now,
        };
        // The VMs start 10 s before the first request arrives.
        for _ in 0..100 {
            fleet.step(&vec![0; count], |_, _| false);
        }
        fleet.admitted.clear();
        fleet
    }

    /// Simulates a tenth of a second: `requests` has the number for each VM, and every third step
    /// has a gossip round.
    fn step(&mut self, requests: &[u64], is_partitioned: impl Fn(usize, usize) -> bool) {
        self.now = self.now + Duration::from_millis(100);
        let account = account();
        let mut admitted = 0;
        for (limiter, count) in self.limiters.iter_mut().zip(requests) {
            for _ in 0..*count {
                admitted += UNITS * u64::from(limiter.try_take(self.now, &account, UNITS).is_ok());
            }
        }
        self.admitted.push(admitted);
        if (self.now.as_ms() / 100).is_multiple_of(3) {
            self.gossip(is_partitioned);
        }
    }

    fn gossip(&mut self, is_partitioned: impl Fn(usize, usize) -> bool) {
        let rows: Vec<VmRow> = (0..self.limiters.len()).map(|vm| self.row(vm)).collect();
        for (to, limiter) in self.limiters.iter_mut().enumerate() {
            let reachable: Vec<usize> = (0..rows.len())
                .filter(|from| *from != to && !is_partitioned(*from, to))
                .collect();
            limiter.on_reachable_vms(reachable.len() + 1, rows.len());
            for from in reachable {
                limiter.on_row(self.now, &rows[from], &self.deployment);
            }
        }
    }

    fn row(&mut self, vm: usize) -> VmRow {
        VmRow {
            incarnation: self.incarnations[vm],
            usage: self.limiters[vm].next_usage(),
            ..row(u8::try_from(vm).expect("a small fleet") + 1, 1)
        }
    }

    fn restart(&mut self, vm: usize) {
        self.limiters[vm] = new_limiter(self.now, &self.deployment);
        self.incarnations[vm] += 1;
    }

    fn largest_window(&self) -> f64 {
        let windows = self.admitted.windows(WINDOW_S * 10);
        windows
            .map(|window| window.iter().sum::<u64>())
            .max()
            .unwrap_or(0) as f64
    }
}

fn new_limiter(now: Monotonic, deployment: &Deployment) -> QuotaLimiter {
    let mut limiter = QuotaLimiter::new(OVERAGE);
    limiter.on_deployment(now, deployment);
    limiter
}

fn bound() -> f64 {
    (RATE_PER_S * WINDOW_S as f64 + RATE_PER_S) * (1.0 + OVERAGE) + SLACK
}

/// Returns the requests of each of 13 VMs in a tenth of a second at a multiple of the rate.
fn requests(times_the_rate: f64) -> u64 {
    (times_the_rate * RATE_PER_S / 10.0 / 13.0 / UNITS as f64) as u64
}

#[test]
fn four_times_the_rate_through_all_vms_stays_within_the_bound() {
    let mut fleet = Fleet::new(13);
    for _ in 0..200 {
        fleet.step(&[requests(4.0); 13], |_, _| false);
    }
    assert!(
        fleet.largest_window() <= bound(),
        "{}",
        fleet.largest_window()
    );
}

#[test]
fn four_times_the_rate_through_one_vm_stays_within_the_bound_and_is_served() {
    let mut fleet = Fleet::new(13);
    let mut skewed = [0; 13];
    skewed[4] = requests(4.0) * 13;
    for _ in 0..200 {
        fleet.step(&skewed, |_, _| false);
    }
    assert!(
        fleet.largest_window() <= bound(),
        "{}",
        fleet.largest_window()
    );
    assert!(fleet.largest_window() >= RATE_PER_S * WINDOW_S as f64);
}

#[test]
fn vms_without_reachable_peers_stay_within_the_bound_together() {
    let mut fleet = Fleet::new(13);
    for _ in 0..200 {
        fleet.step(&[requests(4.0); 13], |_, _| true);
    }
    assert!(
        fleet.largest_window() <= bound(),
        "{}",
        fleet.largest_window()
    );
}

#[test]
fn simultaneous_restarts_admit_no_second_burst() {
    let mut fleet = Fleet::new(13);
    for step in 0..200 {
        if step == 60 {
            (0..13).for_each(|vm| fleet.restart(vm));
        }
        fleet.step(&[requests(4.0); 13], |_, _| false);
    }
    assert!(
        fleet.largest_window() <= bound(),
        "{}",
        fleet.largest_window()
    );
}

#[test]
fn no_request_within_the_rate_is_refused() {
    let mut fleet = Fleet::new(13);
    for _ in 0..200 {
        fleet.step(&[requests(0.9); 13], |_, _| false);
    }
    let requested: u64 = 200 * 13 * requests(0.9) * UNITS;
    assert_eq!(fleet.admitted.iter().sum::<u64>(), requested);
}
