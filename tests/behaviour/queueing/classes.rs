//! Short and long work.

use figramp::catalog::WorkClass;
use figramp::queueing::FairQueue;
use figramp::queueing::QueueLimits;

use super::support::item;
use super::support::keys;
use super::support::long_item;
use super::support::START;

#[test]
fn short_work_goes_before_long_work() {
    let keys = keys();
    let mut queue = FairQueue::new(QueueLimits::default());
    for _ in 0..10 {
        queue.offer(START, long_item(&keys, 0, 10_000)).unwrap();
    }
    for _ in 0..10 {
        queue.offer(START, item(&keys, 1, 100)).unwrap();
    }
    for _ in 0..10 {
        let next = queue.next(START, |_| true).unwrap();
        assert_eq!(next.class, WorkClass::Interactive);
    }
    assert_eq!(queue.len(WorkClass::Long), 10);
}

#[test]
fn short_work_that_never_ends_leaves_a_part_to_long_work() {
    let keys = keys();
    let limits = QueueLimits::default();
    let mut queue = FairQueue::new(limits);
    let mut short_tokens = 0;
    let mut long_tokens = 0;
    for _ in 0..5_000 {
        while queue.len(WorkClass::Interactive) < 10 {
            queue.offer(START, item(&keys, 0, 100)).unwrap();
        }
        while queue.len(WorkClass::Long) < 2 {
            queue.offer(START, long_item(&keys, 1, 5_000)).unwrap();
        }
        let next = queue.next(START, |_| true).unwrap();
        match next.class {
            WorkClass::Interactive => short_tokens += next.cost_tokens,
            WorkClass::Long => long_tokens += next.cost_tokens,
        }
    }
    let part = short_tokens / long_tokens;
    assert_eq!(part, limits.interactive_per_long);
}
