//! When a VM reads the store itself.

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
fn others_read_only_when_their_peers_tell_them_nothing() {
    let mut plan = ReadPlan::default();
    plan.on_sent(at(0));
    plan.on_answered();
    for now in (0..20_000).step_by(100) {
        assert!(!plan.is_due(at(now), false, Some(at(now.saturating_sub(900)))));
    }
    assert!(plan.is_due(at(20_000), false, Some(at(18_000))));
}

#[test]
fn a_lost_store_is_told_once_and_asked_again_after_a_pause() {
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
