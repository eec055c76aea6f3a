//! The bound on repeated sends that all VMs hold together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::clock::Monotonic;

/// The part of the ratio that is used; windows of the bound slide and those here are cut in steps.
const RATIO_USED: f64 = 0.8;

/// The part of the fixed allowance that is shared out; the rest is for views that differ.
const SLACK_USED: f64 = 0.5;

const STEP: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Step {
    started_at: Monotonic,
    requests: u32,
    repeats: u32,
}

/// The bound on sends of a request beyond its first one, for one service.
///
/// A ratio of the own requests, which adds up over all VMs by itself, and an equal part of a fixed
/// allowance.
#[derive(Debug)]
pub struct FleetRetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    steps: VecDeque<Step>,
}

impl FleetRetryBudget {
    /// Creates a budget: `ratio` of the requests of a window and `slack` repeats, over all VMs.
    pub const fn new(window: Duration, ratio: f64, slack: f64) -> Self {
        Self {
            window,
            ratio,
            slack,
            steps: VecDeque::new(),
        }
    }

    /// Notes a request of a client.
    pub fn on_request(&mut self, now: Monotonic) {
        self.step(now).requests += 1;
    }

    /// Takes one repeat; returns whether there was one.
    pub fn try_take(&mut self, now: Monotonic, known_vms: usize) -> bool {
        let slack = self.slack * SLACK_USED / known_vms.max(1) as f64;
        let ratio = self.ratio * RATIO_USED;
        self.step(now);
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        if f64::from(repeats + 1) > f64::from(requests) * ratio + slack.max(1.0) {
            return false;
        }
        self.step(now).repeats += 1;
        true
    }

    fn step(&mut self, now: Monotonic) -> &mut Step {
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
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
