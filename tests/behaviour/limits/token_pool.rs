//! Reservations are atomic, come from unexpired grants only, and are settled on those grants.

use std::sync::Arc;
use std::thread;

use figramp::clock::Monotonic;
use figramp::limits::HeldGrant;
use figramp::limits::TokenPool;

const NOW: Monotonic = Monotonic::from_ms(1_000);
const END: Monotonic = Monotonic::from_ms(2_000);

fn pool_of(grants: &[&Arc<HeldGrant>]) -> TokenPool {
    TokenPool::with_grants(grants.iter().map(|grant| Arc::clone(grant)).collect())
}

#[test]
fn a_reservation_spans_grants_and_returns_what_is_unused() {
    let first = Arc::new(HeldGrant::new(1, 60, END));
    let second = Arc::new(HeldGrant::new(2, 60, END));
    let pool = pool_of(&[&first, &second]);
    let reservation = pool.reserve(NOW, 100).unwrap();
    assert_eq!(reservation.tokens(), 100);
    pool.settle(reservation, 70);
    assert_eq!(first.report().used_tokens, 60);
    assert_eq!(second.report().used_tokens, 10);
    assert_eq!(second.report().refunded_tokens, 30);
    assert_eq!(pool.available_tokens(NOW), 20);
}

#[test]
fn a_shortfall_reserves_nothing() {
    let grant = Arc::new(HeldGrant::new(1, 60, END));
    let pool = pool_of(&[&grant]);
    let shortfall = pool.reserve(NOW, 100).unwrap_err();
    assert_eq!(shortfall.missing_tokens, 40);
    assert_eq!(grant.report().spent_tokens, 0);
}

#[test]
fn an_expired_grant_admits_nothing() {
    let grant = Arc::new(HeldGrant::new(1, 60, END));
    let pool = pool_of(&[&grant]);
    assert!(pool.reserve(END, 1).is_err());
    assert_eq!(pool.available_tokens(END), 0);
}

#[test]
fn a_closed_grant_admits_nothing_and_reports_the_rest_as_returned() {
    let grant = Arc::new(HeldGrant::new(1, 60, END));
    let pool = pool_of(&[&grant]);
    let reservation = pool.reserve(NOW, 20).unwrap();
    grant.close();
    assert!(pool.reserve(NOW, 1).is_err());
    pool.settle(reservation, 20);
    assert_eq!(grant.report().returned_tokens, 40);
    assert!(grant.is_settled());
}

#[test]
fn threads_never_reserve_more_than_was_granted() {
    let grants: Vec<Arc<HeldGrant>> = (0..8)
        .map(|n| Arc::new(HeldGrant::new(n, 1_000, END)))
        .collect();
    let pool = Arc::new(TokenPool::with_grants(grants.clone()));
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let pool = Arc::clone(&pool);
            thread::spawn(move || {
                let reserved = (0..2_000).filter_map(|_| pool.reserve(NOW, 7).ok());
                reserved
                    .map(|reservation| reservation.tokens())
                    .sum::<u64>()
            })
        })
        .collect();
    let reserved: u64 = threads.into_iter().map(|t| t.join().unwrap()).sum();
    let spent: u32 = grants.iter().map(|grant| grant.report().spent_tokens).sum();
    let refunded: u32 = grants
        .iter()
        .map(|grant| grant.report().refunded_tokens)
        .sum();
    assert_eq!(reserved, u64::from(spent - refunded));
    assert!(reserved > 7_900 && reserved <= 8_000);
}
