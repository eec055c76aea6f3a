//! Statistics of the current day.

use std::collections::BTreeMap;

use super::Absorb;
use super::AccountStatistics;
use super::BookingRecord;
use super::RequestEnd;
use super::RequestOutcome;
use crate::catalog::Name;
use crate::clock::WallTime;

/// The number of hours in a day, one [`HourCounts`] each.
pub const HOURS_PER_DAY: usize = 24;

const HOUR_MS: u64 = 3_600_000;
const DAY_MS: u64 = 24 * HOUR_MS;

/// A day in UTC, as the number of days since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Day(pub u64);

/// The numbers of requests that ended in one hour.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HourCounts {
    /// Answered in full.
    pub answered: u64,
    /// Refused.
    pub refused: u64,
    /// Accepted and not answered in full.
    pub failed: u64,
}

/// Statistics since midnight, in UTC, or since the VM started if that is later.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DayStatistics {
    /// The day.
    pub day: Day,
    /// Requests by hour of the day, in UTC.
    pub hours: [HourCounts; HOURS_PER_DAY],
    /// Statistics by client account; `None` stands for requests without a valid key.
    pub accounts: BTreeMap<Option<Name>, AccountStatistics>,
}

impl Day {
    /// Returns the day of `time`.
    pub const fn of(time: WallTime) -> Self {
        Self(time.unix_ms / DAY_MS)
    }
}

impl DayStatistics {
    /// Resets the statistics if `now` is on a later day.
    pub fn roll_over(&mut self, now: WallTime) {
        let day = Day::of(now);
        if day > self.day {
            *self = Self {
                day,
                ..Self::default()
            };
        }
    }

    /// Adds the statistics of another VM; if the days differ, only the later day is kept.
    pub fn merge(&mut self, other: &Self) {
        if other.day > self.day {
            *self = other.clone();
            return;
        }
        if other.day < self.day {
            return;
        }
        for (hour, counts) in self.hours.iter_mut().zip(&other.hours) {
            hour.answered += counts.answered;
            hour.refused += counts.refused;
            hour.failed += counts.failed;
        }
        for (account, statistics) in &other.accounts {
            let merged = self.accounts.entry(account.clone()).or_default();
            merged.merge(statistics);
        }
    }

    /// Returns the sum of the statistics of all accounts.
    pub fn total(&self) -> AccountStatistics {
        let mut total = AccountStatistics::default();
        for statistics in self.accounts.values() {
            total.merge(statistics);
        }
        total
    }

    /// Returns the named accounts, the worst-served first.
    pub fn worst_served_first(&self) -> Vec<(&Name, &AccountStatistics)> {
        let mut accounts: Vec<_> = self
            .accounts
            .iter()
            .filter_map(|(name, statistics)| Some((name.as_ref()?, statistics)))
            .collect();
        accounts.sort_by(|(_, first), (_, second)| first.compare_service(second));
        accounts
    }
}

impl DayStatistics {
    /// Adds the outcome of a non-idempotent call that another VM forwarded.
    pub fn add_booking(&mut self, booking: BookingRecord) {
        self.roll_over(booking.ended_at);
        let account = self.accounts.entry(booking.client_account).or_default();
        account.bookings.add(booking.outcome);
    }
}

impl Absorb for DayStatistics {
    type Item = RequestOutcome;

    fn absorb(&mut self, outcome: RequestOutcome) {
        self.roll_over(outcome.ended_at);
        let hour = outcome.ended_at.unix_ms % DAY_MS / HOUR_MS;
        let hour = usize::try_from(hour).unwrap_or(0);
        let counts = &mut self.hours[hour];
        match outcome.end {
            RequestEnd::Answered => counts.answered += 1,
            RequestEnd::Refused(_) => counts.refused += 1,
            RequestEnd::Failed(_) => counts.failed += 1,
            RequestEnd::Cancelled => {}
        }
        let account = outcome.client_account.clone();
        self.accounts.entry(account).or_default().add(&outcome);
    }
}
