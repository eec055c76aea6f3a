//! A retry budget that holds over all VMs together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Monotonic;

/// The part of the ratio that is used; the margin covers the difference between a sliding window
/// and the steps counted here.
const RATIO_USED: f64 = 0.8;

/// The part of the fixed allowance that is distributed; the margin covers VMs with different views
/// of the number of VMs.
const SLACK_USED: f64 = 0.5;

const STEP: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Step {
    started_at: Monotonic,
    requests: u32,
    retries: u32,
}

/// The retry budget of one service on one VM, which bounds the retries of all VMs together.
///
/// Each VM may retry a fraction of its own requests, which bounds the sum without coordination, and
/// has an equal share of a fixed allowance.
#[derive(Debug)]
pub struct FleetRetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    steps: VecDeque<Step>,
}

impl FleetRetryBudget {
    /// Creates a budget for all VMs: `ratio` of the requests of a window, plus `slack` retries.
    pub const fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            steps: VecDeque::new(),
        }
    }

    /// Records a request of a client.
    pub fn on_request(&mut self, now: Monotonic) {
        self.current_step(now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn try_take(&mut self, now: Monotonic, known_vms: usize) -> bool {
        let slack = self.slack * SLACK_USED / known_vms.max(1) as f64;
        let ratio = self.ratio * RATIO_USED;
        self.current_step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        if f64::from(retries + 1) > f64::from(requests) * ratio + slack.max(1.0) {
            return false;
        }
        self.current_step(now).retries += 1;
        true
    }

    fn current_step(&mut self, now: Monotonic) -> &mut Step {
        while let Some(first) = self.steps.front() {
            if now.since(first.started_at) <= self.window {
                break;
            }
            self.steps.pop_front();
        }
        let is_current = self
            .steps
            .back()
            .is_some_and(|step| now.since(step.started_at) < STEP);
        if !is_current {
            self.steps.push_back(Step {
                started_at: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
