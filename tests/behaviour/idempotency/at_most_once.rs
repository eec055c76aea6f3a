//! No sequence of faults makes a call run twice, unless the module documentation of `idempotency`
//! excludes it.

use std::sync::Arc;
use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::idempotency::replica_set;
use figramp::idempotency::CallOutcome;
use figramp::idempotency::IdempotencyAnswer;
use figramp::idempotency::RecordId;
use figramp::membership::Liveness;
use figramp::request::RequestId;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;

use super::fleet::stored_answer;
use super::fleet::Fleet;
use super::fleet::VM_COUNT;
use crate::routing::published;
use crate::routing::seed;

const KEY_COUNT: usize = 2;
const STEPS: usize = 120;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        vm: usize,
        key: usize,
    },
    Deliver {
        position: usize,
    },
    Duplicate {
        position: usize,
    },
    Drop {
        position: usize,
    },
    Advance {
        ms: u64,
    },
    Finish {
        position: usize,
        outcome: usize,
    },
    Replace {
        vm: usize,
    },
    Pause {
        vm: usize,
    },
    Resume {
        vm: usize,
    },
    SetLiveness {
        vm: usize,
        other: usize,
        is_alive: bool,
    },
    Partition {
        vm: usize,
        other: usize,
        is_partitioned: bool,
    },
    ApplyCatalog {
        vm: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VM_COUNT;
        let other = usize::arbitrary(g) % VM_COUNT;
        let position = usize::arbitrary(g);
        match u8::arbitrary(g) % 32 {
            0..=3 => Self::Submit {
                vm,
                key: other % KEY_COUNT,
            },
            4..=17 => Self::Deliver { position },
            18 => Self::Duplicate { position },
            19..=20 => Self::Drop { position },
            21..=23 => Self::Advance {
                ms: u64::arbitrary(g) % 150,
            },
            24 => Self::Advance {
                ms: u64::arbitrary(g) % 5_000,
            },
            25 => Self::Finish {
                position,
                outcome: other,
            },
            26 => Self::Replace { vm },
            27 => Self::Pause { vm },
            28 => Self::Resume { vm },
            29 => Self::SetLiveness {
                vm,
                other,
                is_alive: bool::arbitrary(g),
            },
            30 => Self::Partition {
                vm,
                other,
                is_partitioned: bool::arbitrary(g),
            },
            _ => Self::ApplyCatalog { vm },
        }
    }
}

#[derive(Clone, Debug)]
struct Steps(Vec<Step>);

impl Arbitrary for Steps {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..STEPS).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink().map(Self))
    }
}

fn outcome(number: usize) -> CallOutcome {
    match number % 4 {
        0 => CallOutcome::NotRun,
        1 => CallOutcome::Unknown,
        2 => CallOutcome::RanUnkept,
        _ => CallOutcome::Completed(stored_answer()),
    }
}

fn apply(fleet: &mut Fleet, step: &Step) {
    let message_count = fleet.messages.len().max(1);
    match *step {
        Step::Submit { vm, key } if !fleet.nodes[vm].is_paused => {
            fleet.submit(vm, key);
        }
        Step::Deliver { position } => deliver(fleet, position % message_count),
        Step::Duplicate { position } => {
            if let Some(envelope) = fleet.messages.get(position % message_count) {
                let copy = super::fleet::Envelope {
                    to: envelope.to,
                    from: envelope.from,
                    message: envelope.message.clone(),
                };
                fleet.messages.push(copy);
            }
        }
        Step::Drop { position } if !fleet.messages.is_empty() => {
            fleet.messages.remove(position % message_count);
        }
        Step::Advance { ms } => fleet.advance(Duration::from_millis(ms)),
        Step::Finish {
            position,
            outcome: number,
        } if !fleet.running.is_empty() => {
            let position = position % fleet.running.len();
            if !fleet.nodes[fleet.running[position].0].is_paused {
                fleet.finish(position, outcome(number));
            }
        }
        // A second replacement before the first VM has read the records may lose a record.
        Step::Replace { vm } if fleet.is_synced() => fleet.replace(vm),
        Step::Pause { vm } => fleet.nodes[vm].is_paused = true,
        Step::Resume { vm } => fleet.nodes[vm].is_paused = false,
        Step::SetLiveness {
            vm,
            other,
            is_alive,
        } => {
            let liveness = if is_alive {
                Liveness::Alive
            } else {
                Liveness::Dead
            };
            fleet.set_liveness(vm, other, liveness);
        }
        Step::Partition {
            vm,
            other,
            is_partitioned,
        } => fleet.set_partitioned(vm, other, is_partitioned),
        _ => {}
    }
}

fn deliver(fleet: &mut Fleet, position: usize) {
    let is_deliverable = fleet
        .messages
        .get(position)
        .is_some_and(|envelope| !fleet.nodes[envelope.to].is_paused);
    if is_deliverable {
        fleet.deliver(position);
    }
}

fn no_key_runs_twice(steps: Steps) -> TestResult {
    let mut fleet = Fleet::new();
    let limit = fleet.now + fleet.settings.full_sync_timeout;
    for step in &steps.0 {
        if fleet.now < limit {
            apply(&mut fleet, step);
        }
        if let Some((key, runs)) = fleet.runs.iter().find(|(_, runs)| **runs > 1) {
            return TestResult::error(format!("key {key} ran {runs} times"));
        }
    }
    TestResult::passed()
}

#[test]
fn a_call_runs_at_most_once_under_any_faults() {
    seed::checker(2_000).quickcheck(no_key_runs_twice as fn(Steps) -> TestResult);
}

/// A VM is removed from the roster, and each VM applies the change at a different time.
fn no_key_runs_twice_over_a_roster_change(steps: Steps, removed: usize) -> TestResult {
    let mut fleet = Fleet::new();
    let after = without_vm(&fleet, removed % VM_COUNT);
    let limit = fleet.now + fleet.settings.transition;
    for step in &steps.0 {
        match step {
            Step::ApplyCatalog { vm } => apply_catalog(&mut fleet, *vm, &after),
            Step::Replace { .. } => {}
            _ if fleet.now < limit => apply(&mut fleet, step),
            _ => {}
        }
        if fleet.runs.values().any(|runs| *runs > 1) {
            return TestResult::error("a key ran twice");
        }
    }
    TestResult::passed()
}

fn without_vm(fleet: &Fleet, removed: usize) -> Arc<Catalog> {
    let mut after = super::fleet::published(VM_COUNT);
    after
        .objects
        .retain(|(name, _)| name.as_str() != format!("north-vm{removed}"));
    Arc::new(after.build(&fleet.catalog))
}

fn apply_catalog(fleet: &mut Fleet, vm: usize, catalog: &Arc<Catalog>) {
    fleet.nodes[vm]
        .controller
        .on_catalog(fleet.now, catalog.clone());
}

#[test]
fn a_roster_change_copies_records_to_the_new_replicas() {
    let mut fleet = Fleet::new();
    for key in 0..10 {
        fleet.submit(0, key);
        fleet.deliver_all();
        fleet.finish(0, CallOutcome::Completed(stored_answer()));
        fleet.deliver_all();
    }
    let after = without_vm(&fleet, 0);
    for vm in 1..VM_COUNT {
        apply_catalog(&mut fleet, vm, &after);
    }
    fleet.nodes[0].is_paused = true;
    fleet.advance(Duration::from_secs(1));
    fleet.deliver_all();
    fleet.advance(fleet.settings.transition);
    for key in 0..10 {
        let id = RecordId::of_call(&fleet.call(RequestId(1), key)).unwrap();
        let region = published::region(&after, "north");
        for replica in replica_set(&after, region, &id) {
            let vm = fleet.nodes.iter().position(|node| node.key == replica);
            let duplicate = fleet.submit(vm.unwrap(), key);
            let answer = &fleet.answers[&duplicate].answer;
            assert_eq!(*answer, IdempotencyAnswer::Stored(stored_answer()));
        }
    }
}

#[test]
fn no_call_runs_twice_while_a_roster_change_spreads() {
    seed::checker(3_000)
        .quickcheck(no_key_runs_twice_over_a_roster_change as fn(Steps, usize) -> TestResult);
}

#[test]
fn a_coordinator_that_resumes_after_the_deadline_does_not_proceed() {
    let mut fleet = Fleet::new();
    let first = fleet.submit(0, 0);
    fleet.nodes[0].is_paused = true;
    fleet.deliver_all();
    fleet.now = fleet.now + Duration::from_secs(3_600);
    fleet.nodes[0].is_paused = false;
    fleet.deliver_all();
    assert!(!fleet.proceeded.contains(&first));
    let IdempotencyAnswer::Failed(error) = &fleet.answers[&first].answer else {
        panic!("the submission was not refused");
    };
    assert_eq!(error.run, figramp::errors::RunState::NotRun);
}

#[test]
fn a_coordinator_that_has_just_started_has_no_vote() {
    let mut fleet = Fleet::new();
    let id = RecordId::of_call(&fleet.call(RequestId(1), 0)).unwrap();
    let region = published::region(&fleet.catalog, "north");
    let replicas: Vec<usize> = replica_set(&fleet.catalog, region, &id)
        .into_iter()
        .map(|key| fleet.nodes.iter().position(|node| node.key == key).unwrap())
        .collect();
    fleet.set_partitioned(replicas[0], replicas[2], true);
    fleet.submit(replicas[0], 0);
    fleet.deliver_all();
    fleet.advance(fleet.settings.ack_timeout / 2);
    assert_eq!(fleet.runs[&0], 1);
    fleet.replace(replicas[0]);
    fleet.set_partitioned(replicas[0], replicas[2], false);
    fleet.set_partitioned(replicas[0], replicas[1], true);
    fleet.submit(replicas[0], 0);
    fleet.deliver_all();
    fleet.advance(fleet.settings.ack_timeout / 2);
    assert_eq!(fleet.runs[&0], 1);
}
