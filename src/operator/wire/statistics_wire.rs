//! The statistics of a day in JSON.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::ReportWireError;
use crate::catalog::Name;
use crate::errors::ErrorKind;
use crate::telemetry::AccountStatistics;
use crate::telemetry::BookingCounts;
use crate::telemetry::Day;
use crate::telemetry::DayStatistics;
use crate::telemetry::HourCounts;
use crate::telemetry::LatencyHistogram;

/// The statistics of one day.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct StatisticsWire {
    day: u64,
    hours: Vec<HourWire>,
    accounts: Vec<AccountWire>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct HourWire {
    answered: u64,
    refused: u64,
    failed: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct AccountWire {
    client_account: Option<String>,
    accepted: u64,
    answered: u64,
    cancelled: u64,
    refused: BTreeMap<String, u64>,
    failed: BTreeMap<String, u64>,
    refused_inside_rate: u64,
    tokens: u64,
    served_in_other_region: u64,
    bookings_run: u64,
    bookings_repeated: u64,
    bookings_unknown: u64,
    first_token: Vec<BucketWire>,
    between_tokens: Vec<BucketWire>,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct BucketWire {
    #[serde(rename = "us")]
    latency_us: u64,
    #[serde(rename = "n")]
    count: u64,
}

impl From<&DayStatistics> for StatisticsWire {
    fn from(statistics: &DayStatistics) -> Self {
        let hours = statistics.hours.iter().map(|hour| HourWire {
            answered: hour.answered,
            refused: hour.refused,
            failed: hour.failed,
        });
        let accounts = statistics
            .accounts
            .iter()
            .map(|(name, account)| AccountWire::new(name.as_ref(), account));
        Self {
            day: statistics.day.0,
            hours: hours.collect(),
            accounts: accounts.collect(),
        }
    }
}

impl TryFrom<StatisticsWire> for DayStatistics {
    type Error = ReportWireError;

    fn try_from(wire: StatisticsWire) -> Result<Self, Self::Error> {
        let hours: Vec<HourCounts> = wire
            .hours
            .iter()
            .map(|hour| HourCounts {
                answered: hour.answered,
                refused: hour.refused,
                failed: hour.failed,
            })
            .collect();
        let accounts = wire.accounts.into_iter().map(AccountWire::into_entry);
        Ok(Self {
            day: Day(wire.day),
            hours: hours.try_into().map_err(|_| ReportWireError::HourCount)?,
            accounts: accounts.collect::<Result<_, _>>()?,
        })
    }
}

impl AccountWire {
    fn new(name: Option<&Name>, account: &AccountStatistics) -> Self {
        Self {
            client_account: name.map(|name| name.as_str().to_owned()),
            accepted: account.accepted,
            answered: account.answered,
            cancelled: account.cancelled,
            refused: kinds_to_wire(&account.refused),
            failed: kinds_to_wire(&account.failed),
            refused_inside_rate: account.refused_inside_rate,
            tokens: account.tokens,
            served_in_other_region: account.served_in_other_region,
            bookings_run: account.bookings.run,
            bookings_repeated: account.bookings.repeated,
            bookings_unknown: account.bookings.unknown,
            first_token: buckets_to_wire(&account.first_token),
            between_tokens: buckets_to_wire(&account.between_tokens),
        }
    }

    fn into_entry(self) -> Result<(Option<Name>, AccountStatistics), ReportWireError> {
        let name = self.client_account.map(Name::new).transpose()?;
        let account = AccountStatistics {
            accepted: self.accepted,
            answered: self.answered,
            cancelled: self.cancelled,
            refused: kinds_from_wire(self.refused)?,
            failed: kinds_from_wire(self.failed)?,
            refused_inside_rate: self.refused_inside_rate,
            tokens: self.tokens,
            served_in_other_region: self.served_in_other_region,
            bookings: BookingCounts {
                run: self.bookings_run,
                repeated: self.bookings_repeated,
                unknown: self.bookings_unknown,
            },
            first_token: buckets_from_wire(&self.first_token),
            between_tokens: buckets_from_wire(&self.between_tokens),
        };
        if account.cancelled > account.accepted {
            return Err(ReportWireError::Counts);
        }
        Ok((name, account))
    }
}

fn kinds_to_wire(counts: &BTreeMap<ErrorKind, u64>) -> BTreeMap<String, u64> {
    counts
        .iter()
        .map(|(kind, count)| (kind.answer().code.to_owned(), *count))
        .collect()
}

fn kinds_from_wire(
    counts: BTreeMap<String, u64>,
) -> Result<BTreeMap<ErrorKind, u64>, ReportWireError> {
    counts
        .into_iter()
        .map(|(code, count)| match ErrorKind::from_code(&code) {
            Some(kind) => Ok((kind, count)),
            None => Err(ReportWireError::UnknownKind(code)),
        })
        .collect()
}

fn buckets_to_wire(histogram: &LatencyHistogram) -> Vec<BucketWire> {
    histogram
        .buckets()
        .map(|bucket| BucketWire {
            latency_us: bucket.latency_us,
            count: bucket.count,
        })
        .collect()
}

fn buckets_from_wire(buckets: &[BucketWire]) -> LatencyHistogram {
    let mut histogram = LatencyHistogram::default();
    for bucket in buckets {
        histogram.record(bucket.latency_us, bucket.count);
    }
    histogram
}
