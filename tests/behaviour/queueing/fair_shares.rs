//! Accounts with waiting requests share the tokens by weight, within a bound.

use figramp::queueing::FairQueue;
use figramp::queueing::QueueItem;
use figramp::queueing::QueueLimits;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;

use super::support::item;
use super::support::keys;
use super::support::START;
use crate::routing::seed;

const COST_MAX_TOKENS: u64 = 8_000;
const BACKLOG: usize = 200;

#[derive(Clone, Debug)]
struct Load {
    weights: [u32; 3],
    costs: Vec<(u8, u16)>,
    starts: usize,
}

impl Arbitrary for Load {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            weights: std::array::from_fn(|_| 1 + u32::arbitrary(g) % 5),
            costs: (0..3 * BACKLOG)
                .map(|_| (u8::arbitrary(g), u16::arbitrary(g)))
                .collect(),
            starts: 1 + usize::arbitrary(g) % BACKLOG,
        }
    }
}

/// Checks the fairness bound: while all accounts wait, their started tokens divided by weight
/// differ by at most one quantum and two of the largest requests (Shreedhar and Varghese, 1996).
fn shares_are_bounded(load: Load) -> TestResult {
    let keys = keys();
    let limits = QueueLimits {
        account_max_requests: BACKLOG,
        ..QueueLimits::default()
    };
    let mut queue = FairQueue::new(limits);
    for (position, (_, cost)) in load.costs.iter().enumerate() {
        let account = position % 3;
        let cost_tokens = 1 + u64::from(*cost) % COST_MAX_TOKENS;
        let item = QueueItem {
            weight: load.weights[account],
            ..item(&keys, account, cost_tokens)
        };
        queue.offer(START, item).unwrap();
    }
    let mut started = [0u64; 3];
    let mut waiting = [BACKLOG; 3];
    for _ in 0..load.starts {
        let next = queue.next(START, |_| true).unwrap();
        started[next.payload] += next.cost_tokens;
        waiting[next.payload] -= 1;
        if waiting.contains(&0) {
            break;
        }
        let by_weight: Vec<u64> = (0..3)
            .map(|account| started[account] / u64::from(load.weights[account]))
            .collect();
        let spread = by_weight.iter().max().unwrap() - by_weight.iter().min().unwrap();
        if spread > limits.quantum_tokens + 2 * COST_MAX_TOKENS {
            return TestResult::error(format!("spread of {spread} tokens: {by_weight:?}"));
        }
    }
    TestResult::passed()
}

#[test]
fn tokens_are_shared_by_weight_within_the_bound() {
    seed::checker(200).quickcheck(shares_are_bounded as fn(Load) -> TestResult);
}

#[test]
fn an_account_that_floods_the_queue_does_not_delay_the_others() {
    let keys = keys();
    let mut queue = FairQueue::new(QueueLimits::default());
    for _ in 0..200 {
        queue.offer(START, item(&keys, 0, 500)).unwrap();
    }
    queue.offer(START, item(&keys, 1, 500)).unwrap();
    let position = (0..)
        .find(|_| queue.next(START, |_| true).unwrap().payload == 1)
        .unwrap();
    assert!(position <= 4, "started as number {position}");
}

#[test]
fn a_blocked_route_does_not_hold_back_the_rest() {
    let keys = keys();
    let mut queue = FairQueue::new(QueueLimits::default());
    queue.offer(START, item(&keys, 0, 10)).unwrap();
    let other_route = QueueItem {
        route: keys.plans,
        ..item(&keys, 0, 20)
    };
    queue.offer(START, other_route).unwrap();
    let next = queue.next(START, |item| item.route == keys.plans).unwrap();
    assert_eq!(next.cost_tokens, 20);
    assert!(queue.next(START, |_| false).is_none());
    assert!(queue.next(START, |_| true).is_some());
    assert!(queue.is_empty());
}
