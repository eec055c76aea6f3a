//! The usage that other VMs admitted is charged once.

use figramp::quota::AccountBucket;
use quickcheck::quickcheck;

use crate::belief::support::at;
use crate::fleet::support::ip;

const RATE_PER_S: f64 = 1_000.0;
const BURST: f64 = 1_000.0;

fn full_bucket() -> AccountBucket {
    let mut bucket = AccountBucket::new(at(0));
    bucket.fill(at(10_000), RATE_PER_S, BURST, 1.0);
    bucket
}

#[test]
fn a_new_bucket_is_empty() {
    let mut bucket = AccountBucket::new(at(0));
    assert!(!bucket.try_take(1));
}

#[test]
fn the_growth_of_the_usage_is_charged() {
    let mut bucket = full_bucket();
    bucket.on_peer_usage(ip(2), 1, 5_000, BURST);
    assert_eq!(bucket.balance(), 1_000.0);
    bucket.on_peer_usage(ip(2), 1, 5_300, BURST);
    assert_eq!(bucket.balance(), 700.0);
}

#[test]
fn a_restarted_vm_counts_from_zero() {
    let mut bucket = full_bucket();
    bucket.on_peer_usage(ip(2), 1, 5_000, BURST);
    bucket.on_peer_usage(ip(2), 2, 200, BURST);
    assert_eq!(bucket.balance(), 800.0);
}

#[test]
fn a_request_that_did_not_run_is_refunded() {
    let mut bucket = full_bucket();
    assert!(bucket.try_take(400));
    bucket.refund(400);
    assert_eq!(bucket.balance(), 1_000.0);
}

#[test]
fn a_refund_of_another_vm_is_applied_here() {
    let mut other = full_bucket();
    let mut bucket = full_bucket();
    bucket.on_peer_usage(ip(2), 1, other.admitted_units(), BURST);
    assert!(other.try_take(600));
    bucket.on_peer_usage(ip(2), 1, other.admitted_units(), BURST);
    assert_eq!(bucket.balance(), 400.0);
    other.refund(600);
    bucket.on_peer_usage(ip(2), 1, other.admitted_units(), BURST);
    assert_eq!(bucket.balance(), 1_000.0);
}

quickcheck! {
    fn a_vm_that_reaches_half_of_the_fleet_refills_half_as_fast(seconds: u8) -> bool {
        let mut whole = AccountBucket::new(at(0));
        let mut half = AccountBucket::new(at(0));
        let now = at(u64::from(seconds) * 1_000);
        whole.fill(now, RATE_PER_S, BURST, 1.0);
        half.fill(now, RATE_PER_S, BURST, 0.5);
        half.balance() <= 0.5 * BURST && half.balance() <= whole.balance()
    }
}
