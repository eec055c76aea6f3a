//! The retry budget that holds over all VMs.

use std::time::Duration;

use figramp::retry::FleetRetryBudget;
use quickcheck::quickcheck;

use crate::belief::support::at;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const SLACK: f64 = 113.0;

#[test]
fn thirteen_vms_that_use_up_their_budgets_stay_within_the_bound() {
    let mut taken = Vec::new();
    let mut budgets: Vec<FleetRetryBudget> = (0..13)
        .map(|_| FleetRetryBudget::new(WINDOW, RATIO, SLACK))
        .collect();
    for ms in (0..40_000).step_by(50) {
        for budget in &mut budgets {
            budget.on_request(at(ms));
            if budget.try_take(at(ms), 13) {
                taken.push(ms);
            }
        }
    }
    let requests_in_window = 13.0 * 10_000.0 / 50.0;
    for start in (0..30_000).step_by(250) {
        let retries = taken
            .iter()
            .filter(|ms| (start..start + 10_000).contains(*ms));
        let bound = requests_in_window * RATIO + SLACK;
        assert!(retries.count() as f64 <= bound, "from {start} ms");
    }
}

#[test]
fn a_vm_without_requests_has_its_share_of_the_allowance() {
    let mut budget = FleetRetryBudget::new(WINDOW, RATIO, SLACK);
    let taken = (0..100).filter(|_| budget.try_take(at(0), 13)).count();
    assert!((1..=8).contains(&taken), "{taken}");
}

quickcheck! {
    fn the_budget_is_restored_after_the_window(count: u8) -> bool {
        let mut budget = FleetRetryBudget::new(WINDOW, RATIO, SLACK);
        for _ in 0..count {
            budget.try_take(at(0), 1);
        }
        budget.try_take(at(12_000), 1)
    }
}
