//! The order of urgency of the requests for a service.

use std::collections::BTreeSet;

/// The number of ranks that endpoints tell apart.
const RANKS: usize = 10;

/// The priority of an account's requests, and then that of the route, which tells requests of the same account apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Urgency {
    account: u8,
    route: u8,
}

impl Urgency {
    fn new(account: Option<u8>, route: u8) -> Self {
        Self {
            account: account.unwrap_or(route),
            route,
        }
    }
}

/// The ranks of the requests for a service, from 0, the most urgent one, to 9.
///
/// It answers accounts of one priority whose requests differ in urgency by their routes: by the priority of the
/// account alone, endpoints would admit them in the order of their arrival.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestRanks {
    urgencies: Vec<Urgency>,
}

impl RequestRanks {
    /// Orders the requests of some accounts on some routes, by their priorities.
    ///
    /// `accounts` has the priority of each account, `None` for the one of the route.
    pub fn new(
        accounts: impl IntoIterator<Item = Option<u8>>,
        routes: impl IntoIterator<Item = u8>,
    ) -> Self {
        let accounts: BTreeSet<Option<u8>> = accounts.into_iter().collect();
        let routes: BTreeSet<u8> = routes.into_iter().collect();
        let urgencies = routes.iter().flat_map(|route| {
            let of_accounts = accounts.iter();
            of_accounts.map(|account| Urgency::new(*account, *route))
        });
        let urgencies: BTreeSet<Urgency> = urgencies.collect();
        Self {
            urgencies: urgencies.into_iter().collect(),
        }
    }

    /// Returns the rank of the requests of an account on a route, by their priorities; where there are more than ten, neighbours
    /// share one.
    pub fn rank(&self, account: Option<u8>, route: u8) -> u8 {
        let urgency = Urgency::new(account, route);
        let ahead = self.urgencies.partition_point(|other| *other < urgency);
        let count = self.urgencies.len().max(RANKS);
        (ahead.min(count - 1) * RANKS / count) as u8
    }
}
