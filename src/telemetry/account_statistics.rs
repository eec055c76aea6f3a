//! Statistics of one client account.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use super::BookingOutcome;
use super::LatencyHistogram;
use super::RateStanding;
use super::RequestEnd;
use super::RequestOutcome;
use super::ServedIn;
use crate::errors::ErrorKind;

/// The percentile by which latencies of accounts are compared.
const RANK_PERCENT: f64 = 95.0;

/// Statistics of the requests of one client account.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountStatistics {
    /// Requests that were accepted and have ended.
    pub accepted: u64,
    /// Accepted requests whose caller got the whole answer.
    pub answered: u64,
    /// Accepted requests whose caller disconnected.
    pub cancelled: u64,
    /// Requests that were refused, by kind.
    pub refused: BTreeMap<ErrorKind, u64>,
    /// Accepted requests that were not answered in full, by kind.
    pub failed: BTreeMap<ErrorKind, u64>,
    /// Requests that were refused for lack of capacity although the account was inside its rate.
    pub refused_inside_rate: u64,
    /// Tokens that were charged.
    pub tokens: u64,
    /// Requests that were served in another region.
    pub served_in_other_region: u64,
    /// The outcomes of non-idempotent calls.
    pub bookings: BookingCounts,
    /// The times to the first token.
    pub first_token: LatencyHistogram,
    /// The times between tokens.
    pub between_tokens: LatencyHistogram,
}

/// The outcomes of non-idempotent calls, which the operators' page calls bookings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BookingCounts {
    /// They ran.
    pub run: u64,
    /// Duplicates of calls that had run, which got the stored answer.
    pub repeated: u64,
    /// It is not known whether they ran.
    pub unknown: u64,
}

impl BookingCounts {
    /// Adds one call.
    pub fn add(&mut self, outcome: BookingOutcome) {
        match outcome {
            BookingOutcome::Run => self.run += 1,
            BookingOutcome::Repeated => self.repeated += 1,
            BookingOutcome::Unknown => self.unknown += 1,
        }
    }
}

impl AccountStatistics {
    /// Adds one request.
    pub fn add(&mut self, outcome: &RequestOutcome) {
        match outcome.end {
            RequestEnd::Answered => {
                self.accepted += 1;
                self.answered += 1;
            }
            RequestEnd::Cancelled => {
                self.accepted += 1;
                self.cancelled += 1;
            }
            RequestEnd::Failed(kind) => {
                self.accepted += 1;
                *self.failed.entry(kind).or_default() += 1;
            }
            RequestEnd::Refused(kind) => {
                *self.refused.entry(kind).or_default() += 1;
                if outcome.rate_standing == RateStanding::Inside && is_capacity_refusal(kind) {
                    self.refused_inside_rate += 1;
                }
            }
        }
        self.tokens += outcome.tokens;
        self.served_in_other_region += u64::from(outcome.served_in == ServedIn::OtherRegion);
        if let Some(booking) = outcome.booking {
            self.bookings.add(booking);
        }
        if let Some(first_token_us) = outcome.times.first_token_us {
            self.first_token.record(first_token_us, 1);
        }
        for gap_us in &outcome.times.between_tokens_us {
            self.between_tokens.record(u64::from(*gap_us), 1);
        }
    }

    /// Adds the statistics of another VM.
    pub fn merge(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.answered += other.answered;
        self.cancelled += other.cancelled;
        merge_counts(&mut self.refused, &other.refused);
        merge_counts(&mut self.failed, &other.failed);
        self.refused_inside_rate += other.refused_inside_rate;
        self.tokens += other.tokens;
        self.served_in_other_region += other.served_in_other_region;
        self.bookings.run += other.bookings.run;
        self.bookings.repeated += other.bookings.repeated;
        self.bookings.unknown += other.bookings.unknown;
        self.first_token.merge(&other.first_token);
        self.between_tokens.merge(&other.between_tokens);
    }

    /// Returns the number of accepted requests that were not answered in full.
    pub fn failed_count(&self) -> u64 {
        self.failed.values().sum()
    }

    /// Returns the number of refused requests.
    pub fn refused_count(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the number of requests that the account was entitled to: those accepted and not
    /// cancelled, and those refused for lack of capacity inside its rate.
    pub fn entitled_count(&self) -> u64 {
        self.accepted - self.cancelled + self.refused_inside_rate
    }

    /// Returns the number of requests that the account was entitled to and that failed or were
    /// refused.
    pub fn lost_count(&self) -> u64 {
        self.failed_count() + self.refused_inside_rate
    }

    /// Compares by service quality, worst first: by the share of lost requests, then by the 95th
    /// percentile of the time to the first token.
    pub fn compare_service(&self, other: &Self) -> Ordering {
        let self_share = u128::from(self.lost_count()) * u128::from(other.entitled_count().max(1));
        let other_share = u128::from(other.lost_count()) * u128::from(self.entitled_count().max(1));
        let self_latency_us = self.first_token.percentile_us(RANK_PERCENT);
        let other_latency_us = other.first_token.percentile_us(RANK_PERCENT);
        other_share
            .cmp(&self_share)
            .then_with(|| other_latency_us.cmp(&self_latency_us))
    }
}

/// Returns whether a refusal is for lack of capacity rather than for an error in the request.
fn is_capacity_refusal(kind: ErrorKind) -> bool {
    matches!(kind.answer().status, 429 | 503)
}

fn merge_counts(into: &mut BTreeMap<ErrorKind, u64>, from: &BTreeMap<ErrorKind, u64>) {
    for (kind, count) in from {
        *into.entry(*kind).or_default() += count;
    }
}
