//! Interactive and long requests.

use figramp::catalog::WorkClass;
use figramp::queueing::FairQueue;
use figramp::queueing::QueueLimits;

use super::support::item;
use super::support::keys;
use super::support::long_item;
use super::support::START;

#[test]
fn interactive_requests_go_before_long_ones() {
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
fn a_constant_interactive_load_leaves_a_share_to_long_requests() {
    let keys = keys();
    let limits = QueueLimits::default();
    let mut queue = FairQueue::new(limits);
    let mut interactive_tokens = 0;
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
            WorkClass::Interactive => interactive_tokens += next.cost_tokens,
            WorkClass::Long => long_tokens += next.cost_tokens,
        }
    }
    let ratio = interactive_tokens / long_tokens;
    assert_eq!(ratio, limits.interactive_per_long);
}
