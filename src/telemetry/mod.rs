//! Statistics, metrics and the bounded log of a VM.
//!
//! Each request passes one [`RequestOutcome`] to [`Telemetry::record`], which takes no lock unless
//! its queue is full. Counters and histograms are updated when they are read, and periodically.

mod account_statistics;
mod answer_timer;
mod booking_record;
mod bounded_log;
mod byte_counter;
mod day_statistics;
mod entry_metrics;
mod latency_histogram;
mod metric_labels;
mod metrics;
mod peer_collector;
mod queued;
mod recorder;
mod request_outcome;

pub use account_statistics::AccountStatistics;
pub use account_statistics::BookingCounts;
pub use answer_timer::AnswerTimer;
pub use answer_timer::AnswerTimes;
pub use booking_record::BookingRecord;
pub use bounded_log::BoundedLog;
pub use byte_counter::ByteCounter;
pub use byte_counter::ByteKind;
pub use byte_counter::CountedStream;
pub use day_statistics::Day;
pub use day_statistics::DayStatistics;
pub use day_statistics::HourCounts;
pub use day_statistics::HOURS_PER_DAY;
pub use entry_metrics::EntryGauges;
pub use entry_metrics::EntryMetrics;
pub use latency_histogram::LatencyBucket;
pub use latency_histogram::LatencyHistogram;
pub use metrics::Metrics;
pub use queued::Absorb;
pub use queued::Queued;
pub use recorder::OpenStream;
pub use recorder::Telemetry;
pub use request_outcome::BookingOutcome;
pub use request_outcome::RateStanding;
pub use request_outcome::RequestEnd;
pub use request_outcome::RequestOutcome;
pub use request_outcome::ServedIn;
