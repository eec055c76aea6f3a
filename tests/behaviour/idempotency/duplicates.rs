//! Answers to duplicates.

use std::time::Duration;

use bytes::Bytes;
use figramp::errors::ErrorKind;
use figramp::errors::RunState;
use figramp::idempotency::home_region;
use figramp::idempotency::home_vm;
use figramp::idempotency::replica_set;
use figramp::idempotency::CallOutcome;
use figramp::idempotency::IdempotencyAnswer;
use figramp::idempotency::RecordId;
use figramp::idempotency::StoredAnswer;
use figramp::membership::Liveness;
use figramp::request::RequestId;

use super::fleet::stored_answer;
use super::fleet::Fleet;
use super::fleet::VM_COUNT;

const SECOND: Duration = Duration::from_secs(1);

fn error_kind(fleet: &Fleet, request: RequestId) -> (ErrorKind, RunState) {
    match &fleet.answers[&request].answer {
        IdempotencyAnswer::Failed(error) => (error.kind, error.run),
        IdempotencyAnswer::Stored(_) => panic!("{request} got a stored answer"),
    }
}

/// Submits a call to the VM of index `coordinator`, and checks that it proceeds.
fn run_first(fleet: &mut Fleet, coordinator: usize) -> RequestId {
    let first = fleet.submit(coordinator, 0);
    fleet.deliver_all();
    assert!(fleet.proceeded.contains(&first));
    first
}

#[test]
fn a_duplicate_on_any_vm_gets_the_first_answer() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    fleet.finish(0, CallOutcome::Completed(stored_answer()));
    fleet.deliver_all();
    for vm in 0..VM_COUNT {
        let duplicate = fleet.submit(vm, 0);
        fleet.deliver_all();
        let answer = &fleet.answers[&duplicate].answer;
        assert_eq!(*answer, IdempotencyAnswer::Stored(stored_answer()));
    }
    assert_eq!(fleet.runs[&0], 1);
}

#[test]
fn a_duplicate_during_the_run_gets_call_in_progress() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    for vm in 0..VM_COUNT {
        let duplicate = fleet.submit(vm, 0);
        fleet.deliver_all();
        let expected = (ErrorKind::CallInProgress, RunState::MayHaveRun);
        assert_eq!(error_kind(&fleet, duplicate), expected);
    }
}

#[test]
fn a_duplicate_after_the_coordinator_is_replaced_gets_may_have_run() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    fleet.replace(0);
    for vm in 1..VM_COUNT {
        fleet.set_liveness(vm, 0, Liveness::Dead);
    }
    for vm in 1..VM_COUNT {
        let duplicate = fleet.submit(vm, 0);
        fleet.deliver_all();
        let expected = (ErrorKind::OutcomeUnknown, RunState::MayHaveRun);
        assert_eq!(error_kind(&fleet, duplicate), expected);
    }
}

#[test]
fn a_duplicate_of_a_call_with_an_answer_too_long_to_store_gets_ran() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    let long = StoredAnswer {
        body: Bytes::from(vec![0; fleet.settings.answer_max_bytes + 1]),
        ..stored_answer()
    };
    fleet.finish(0, CallOutcome::Completed(long));
    fleet.deliver_all();
    let duplicate = fleet.submit(1, 0);
    fleet.deliver_all();
    let expected = (ErrorKind::OutcomeUnknown, RunState::Ran);
    assert_eq!(error_kind(&fleet, duplicate), expected);
}

#[test]
fn the_same_key_with_another_request_is_refused() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    let mut other = fleet.call(RequestId(99), 1);
    other.idempotency_key = fleet.call(RequestId(99), 0).idempotency_key;
    let mut out = Vec::new();
    let node = &mut fleet.nodes[0];
    node.controller
        .begin(fleet.now, &node.view, &other, &mut out);
    let figramp::idempotency::IdempotencyAction::Answer { answer, .. } = &out[0] else {
        panic!("the call was not answered at once");
    };
    let IdempotencyAnswer::Failed(error) = answer else {
        panic!("the call was not refused");
    };
    assert_eq!(error.kind, ErrorKind::IdempotencyKeyReused);
}

#[test]
fn without_a_second_copy_a_call_does_not_run_and_a_later_duplicate_runs() {
    let mut fleet = Fleet::new();
    let first = fleet.submit(0, 0);
    fleet.messages.clear();
    fleet.advance(fleet.settings.ack_timeout);
    let expected = (ErrorKind::RecordUnacknowledged, RunState::NotRun);
    assert_eq!(error_kind(&fleet, first), expected);
    let duplicate = fleet.submit(1, 0);
    fleet.deliver_all();
    assert!(fleet.proceeded.contains(&duplicate));
}

#[test]
fn replicas_that_miss_a_release_get_it_from_the_coordinator() {
    let mut fleet = Fleet::new();
    let call = fleet.call(RequestId(1), 0);
    let id = RecordId::of_call(&call).unwrap();
    let region = home_region(&fleet.catalog, call.route, &id).unwrap();
    let replicas = replica_set(&fleet.catalog, region, &id);
    let coordinator = fleet
        .nodes
        .iter()
        .position(|node| !replicas.contains(&node.key))
        .unwrap();
    let first = fleet.submit(coordinator, 0);
    fleet.nodes[coordinator].is_paused = true;
    fleet.deliver_all();
    fleet.nodes[coordinator].is_paused = false;
    fleet.messages.clear();
    fleet.advance(fleet.settings.ack_timeout);
    fleet.messages.clear();
    assert!(fleet.answers.contains_key(&first));
    let other = fleet
        .nodes
        .iter()
        .position(|node| node.key == replicas[0])
        .unwrap();
    let early = fleet.submit(other, 0);
    assert_eq!(error_kind(&fleet, early).0, ErrorKind::CallInProgress);
    fleet.advance(SECOND);
    fleet.deliver_all();
    let late = fleet.submit(other, 0);
    fleet.deliver_all();
    assert!(fleet.proceeded.contains(&late));
}

#[test]
fn a_call_that_the_endpoint_did_not_run_may_run_again() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    fleet.finish(0, CallOutcome::NotRun);
    fleet.deliver_all();
    let duplicate = fleet.submit(1, 0);
    fleet.deliver_all();
    assert!(fleet.proceeded.contains(&duplicate));
}

#[test]
fn one_of_two_concurrent_submissions_proceeds() {
    let mut fleet = Fleet::new();
    fleet.submit(0, 0);
    fleet.submit(1, 0);
    fleet.deliver_all();
    assert_eq!(fleet.proceeded.len(), 1);
    assert_eq!(fleet.answers.len(), 1);
}

#[test]
fn one_unresponsive_replica_does_not_stop_calls() {
    let mut fleet = Fleet::new();
    fleet.nodes[4].is_paused = true;
    for key in 0..10 {
        let first = fleet.submit(0, key);
        fleet.deliver_all();
        fleet.advance(fleet.settings.ack_timeout / 2);
        assert!(fleet.proceeded.contains(&first));
    }
}

#[test]
fn records_expire() {
    let mut fleet = Fleet::new();
    run_first(&mut fleet, 0);
    fleet.finish(0, CallOutcome::Completed(stored_answer()));
    fleet.deliver_all();
    fleet.advance(fleet.settings.record_ttl + SECOND);
    assert!(fleet
        .nodes
        .iter()
        .all(|node| node.controller.record_count() == 0));
}

#[test]
fn the_home_vm_is_the_first_replica_that_serves() {
    let mut fleet = Fleet::new();
    let call = fleet.call(RequestId(1), 0);
    let id = RecordId::of_call(&call).unwrap();
    let region = home_region(&fleet.catalog, call.route, &id).unwrap();
    let replicas = replica_set(&fleet.catalog, region, &id);
    assert_eq!(replicas.len(), 3);
    let view = &mut fleet.nodes[0].view;
    let home = home_vm(&fleet.catalog, view, region, &id);
    assert_eq!(home, Some(replicas[0]));
    view.vms[replicas[0]].liveness = Liveness::Suspected;
    let home = home_vm(&fleet.catalog, view, region, &id);
    assert_eq!(home, Some(replicas[1]));
}
