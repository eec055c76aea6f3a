//! When a VM reads the platform's store.

use figramp::belief::ReadPlan;

use super::support::at;

#[test]
fn the_reader_reads_twice_a_second() {
    let mut plan = ReadPlan::default();
    assert!(plan.is_due(at(0), true, None));
    plan.on_sent(at(0));
    plan.on_answered();
    assert!(!plan.is_due(at(400), true, Some(at(0))));
    assert!(plan.is_due(at(500), true, Some(at(0))));
}

#[test]
fn other_vms_read_only_when_peers_confirm_nothing() {
    let mut plan = ReadPlan::default();
    plan.on_sent(at(0));
    plan.on_answered();
    for now in (0..20_000).step_by(100) {
        assert!(!plan.is_due(at(now), false, Some(at(now.saturating_sub(900)))));
    }
    assert!(plan.is_due(at(20_000), false, Some(at(18_000))));
}

#[test]
fn a_store_failure_is_reported_once_and_retried_after_a_backoff() {
    let mut plan = ReadPlan::default();
    plan.on_sent(at(0));
    assert!(plan.on_failed(at(10)));
    assert!(!plan.is_due(at(200), true, None));
    assert!(plan.is_due(at(600), true, None));
    assert!(!plan.on_failed(at(700)));
    assert!(!plan.is_store_reachable());
    assert!(plan.on_answered());
    assert!(plan.is_store_reachable());
}
