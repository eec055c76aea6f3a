//! Requests that cannot start in time are refused at once, with a retry time that holds.

use std::time::Duration;

use figramp::catalog::KeyDigest;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::errors::RunState;
use figramp::queueing::FairQueue;
use figramp::queueing::QueueItem;
use figramp::queueing::QueueLimits;
use figramp::queueing::RefusedReason;

use super::support::item;
use super::support::keys;
use super::support::Keys;
use super::support::START;

const STEP: Duration = Duration::from_millis(100);

/// Fills the queue of account 0 and drains it at 1,000 tokens per second until the rate is known.
fn busy_queue(keys: &Keys) -> (FairQueue<usize>, Monotonic) {
    let mut queue = FairQueue::new(QueueLimits::default());
    for _ in 0..200 {
        queue.offer(START, item(keys, 0, 100)).unwrap();
    }
    let mut now = START;
    for _ in 0..20 {
        now = now + STEP;
        queue.next(now, |_| true).unwrap();
    }
    (queue, now)
}

fn item_with_start_by(keys: &Keys, account: usize, start_by: Monotonic) -> QueueItem<usize> {
    QueueItem {
        start_by,
        ..item(keys, account, 100)
    }
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_on_arrival() {
    let keys = keys();
    let (mut queue, now) = busy_queue(&keys);
    let second = Duration::from_secs(1);
    let before = queue.len(WorkClass::Interactive);
    let refused = queue
        .offer(now, item_with_start_by(&keys, 0, now + second))
        .unwrap_err();
    assert_eq!(refused.reason, RefusedReason::TooLate);
    assert_eq!(queue.len(WorkClass::Interactive), before);
    let error = GatewayError::from(refused);
    assert_eq!(error.kind, ErrorKind::DeadlineUnreachable);
    assert_eq!(error.run, RunState::NotRun);
    let other = item_with_start_by(&keys, 1, now + second);
    assert!(
        queue.offer(now, other).is_ok(),
        "other accounts are not affected"
    );
}

#[test]
fn a_retry_after_the_given_time_is_accepted() {
    let keys = keys();
    let (mut queue, mut now) = busy_queue(&keys);
    let wait = Duration::from_secs(1);
    let refused = queue
        .offer(now, item_with_start_by(&keys, 0, now + wait))
        .unwrap_err();
    let retry_at = now + refused.retry_after;
    while now < retry_at {
        now = now + STEP;
        queue.next(now, |_| true);
    }
    assert!(queue
        .offer(now, item_with_start_by(&keys, 0, now + wait))
        .is_ok());
}

#[test]
fn refused_requests_get_increasing_retry_times() {
    let keys = keys();
    let (mut queue, now) = busy_queue(&keys);
    let mut last = Duration::ZERO;
    for _ in 0..10 {
        let refused = queue
            .offer(now, item_with_start_by(&keys, 0, now))
            .unwrap_err();
        assert!(refused.retry_after > last);
        last = refused.retry_after;
    }
}

#[test]
fn queues_are_bounded() {
    let keys = keys();
    let limits = QueueLimits {
        account_max_requests: 2,
        class_max_requests: 3,
        ..QueueLimits::default()
    };
    let mut queue = FairQueue::new(limits);
    queue.offer(START, item(&keys, 0, 1)).unwrap();
    queue.offer(START, item(&keys, 0, 1)).unwrap();
    let refused = queue.offer(START, item(&keys, 0, 1)).unwrap_err();
    assert_eq!(refused.reason, RefusedReason::AccountFull);
    queue.offer(START, item(&keys, 1, 1)).unwrap();
    let refused = queue.offer(START, item(&keys, 1, 1)).unwrap_err();
    assert_eq!(refused.reason, RefusedReason::ClassFull);
    assert_eq!(GatewayError::from(refused).kind, ErrorKind::Overloaded);
}

#[test]
fn a_request_is_removed_when_it_is_abandoned_or_expires_or_its_key_is_revoked() {
    let keys = keys();
    let mut queue = FairQueue::new(QueueLimits::default());
    let digest = KeyDigest::of_key("key");
    let keyed = QueueItem {
        key_digest: Some(digest),
        ..item(&keys, 0, 1)
    };
    let ticket = queue.offer(START, item(&keys, 0, 1)).unwrap();
    queue.offer(START, keyed).unwrap();
    queue
        .offer(START, item_with_start_by(&keys, 1, START + STEP))
        .unwrap();
    assert!(queue.remove(ticket).is_some());
    assert!(queue.remove(ticket).is_none());
    assert_eq!(queue.remove_key(&digest).len(), 1);
    assert_eq!(queue.expire(START + STEP).len(), 0);
    let late = START + 2 * STEP;
    assert!(queue.next(late, |_| true).is_none());
    assert_eq!(queue.expire(late).len(), 1);
    assert!(queue.is_empty());
}

#[test]
fn a_ticket_of_a_request_that_started_removes_no_other() {
    let keys = keys();
    let mut queue = FairQueue::new(QueueLimits::default());
    let ticket = queue.offer(START, item(&keys, 0, 1)).unwrap();
    queue.next(START, |_| true).unwrap();
    queue.offer(START, item(&keys, 0, 1)).unwrap();
    assert!(queue.remove(ticket).is_none());
    assert_eq!(queue.len(WorkClass::Interactive), 1);
}
