//! The order of urgency of the requests for a service.

use std::collections::BTreeSet;

use figramp::deployment::RequestRanks;
use quickcheck::quickcheck;

#[test]
fn routes_order_the_requests_of_an_account() {
    let ranks = RequestRanks::new([Some(0), Some(1)], [0, 2]);
    assert_eq!(ranks.rank(Some(0), 0), 0);
    assert_eq!(ranks.rank(Some(0), 2), 1);
    assert_eq!(ranks.rank(Some(1), 0), 2);
    assert_eq!(ranks.rank(Some(1), 2), 3);
}

#[test]
fn an_account_without_priority_has_that_of_the_route() {
    let ranks = RequestRanks::new([None, Some(1)], [0, 2]);
    let order = [
        ranks.rank(None, 0),
        ranks.rank(Some(1), 0),
        ranks.rank(Some(1), 2),
        ranks.rank(None, 2),
    ];
    assert_eq!(order, [0, 1, 2, 3]);
}

#[test]
fn priorities_of_accounts_alone_keep_their_order() {
    let ranks = RequestRanks::new([Some(0), Some(1), Some(7)], [3]);
    let order = [0, 1, 7].map(|priority| ranks.rank(Some(priority), 3));
    assert_eq!(order, [0, 1, 2]);
}

#[test]
fn priorities_of_accounts_are_told_apart_where_ranks_are_few() {
    let ranks = RequestRanks::new([Some(0), Some(1), Some(2)], [0, 1, 2, 3, 4]);
    let last = [0, 1, 2].map(|account| ranks.rank(Some(account), 4));
    let first = [0, 1, 2].map(|account| ranks.rank(Some(account), 0));
    assert!(
        last[0] < first[1] && last[1] < first[2],
        "{first:?} {last:?}"
    );
    assert!(
        first[0] < last[0] && first[2] < last[2],
        "{first:?} {last:?}"
    );
}

quickcheck! {
    fn up_to_ten_pairs_are_told_apart(accounts: Vec<u8>, route: u8) -> bool {
        let accounts: BTreeSet<u8> = accounts.into_iter().take(10).collect();
        let ranks = RequestRanks::new(accounts.iter().copied().map(Some), [route]);
        let order = accounts.iter().map(|account| ranks.rank(Some(*account), route));
        order.eq(0..accounts.len() as u8)
    }


    fn the_priority_of_the_account_goes_first(
        accounts: Vec<Option<u8>>,
        routes: Vec<u8>,
        first: (Option<u8>, u8),
        second: (Option<u8>, u8)
    ) -> bool {
        let ranks = RequestRanks::new(
            accounts.iter().copied().chain([first.0, second.0]),
            routes.iter().copied().chain([first.1, second.1]),
        );
        let urgency = |(account, route): (Option<u8>, u8)| (account.unwrap_or(route), route);
        let (first_rank, second_rank) = (ranks.rank(first.0, first.1), ranks.rank(second.0, second.1));
        let is_ordered = match urgency(first).cmp(&urgency(second)) {
            std::cmp::Ordering::Less => first_rank <= second_rank,
            std::cmp::Ordering::Equal => first_rank == second_rank,
            std::cmp::Ordering::Greater => first_rank >= second_rank,
        };
        is_ordered && first_rank < 10 && second_rank < 10
    }
}
