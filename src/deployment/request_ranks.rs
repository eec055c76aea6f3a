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

    /// Returns the rank of the requests of an account on a route, by their priorities.
    ///
    /// Where there are more than ten pairs, each priority of accounts has an equal part of the ranks, and routes share those.
    pub fn rank(&self, account: Option<u8>, route: u8) -> u8 {
        let urgency = Urgency::new(account, route);
        let ahead = self.urgencies.partition_point(|other| *other < urgency);
        if self.urgencies.len() <= RANKS {
            return ahead.min(RANKS - 1) as u8;
        }
        let groups = self.urgencies.chunk_by(|a, b| a.account == b.account);
        let group_count = groups.clone().count();
        let groups_ahead = groups
            .clone()
            .filter(|group| group[0].account < urgency.account);
        let group = groups_ahead.count();
        let first_rank = group * RANKS / group_count;
        let rank_count = ((group + 1) * RANKS / group_count).saturating_sub(first_rank);
        let mut same = groups.filter(|group| group[0].account == urgency.account);
        let same = same.next().unwrap_or_default();
        let ahead_in_group = same.partition_point(|other| other.route < urgency.route);
        let within = ahead_in_group * rank_count.max(1) / same.len().max(1);
        (first_rank + within).min(RANKS - 1) as u8
    }
}
