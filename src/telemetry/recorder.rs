//! Records the outcomes of requests.

use std::sync::Arc;

use prometheus_client::metrics::gauge::Gauge;

use super::Absorb;
use super::BookingRecord;
use super::DayStatistics;
use super::Metrics;
use super::Queued;
use super::RequestOutcome;
use crate::clock::WallTime;
use crate::peer::PeerCounters;

const QUEUE_OUTCOMES: usize = 1024;

/// Records the outcomes of requests, and derives statistics and metrics from them.
#[derive(Debug)]
pub struct Telemetry {
    state: Queued<TelemetryState>,
    open_streams: Gauge,
}

#[derive(Debug)]
struct TelemetryState {
    statistics: DayStatistics,
    metrics: Metrics,
}

/// An outcome on its way to the statistics and metrics.
#[derive(Debug)]
enum TelemetryEvent {
    Request(Box<RequestOutcome>),
    Booking(BookingRecord),
}

/// A guard that counts an answer as being sent until it is dropped.
#[derive(Debug)]
pub struct OpenStream(Gauge);

impl Telemetry {
    /// Creates empty statistics, and metrics that include `peer_counters`.
    pub fn new(peer_counters: Arc<PeerCounters>) -> Self {
        let metrics = Metrics::new(peer_counters);
        let open_streams = metrics.open_streams().clone();
        let state = TelemetryState {
            statistics: DayStatistics::default(),
            metrics,
        };
        Self {
            state: Queued::new(state, QUEUE_OUTCOMES),
            open_streams,
        }
    }

    /// Records a request that has ended.
    pub fn record(&self, outcome: RequestOutcome) {
        self.state.put(TelemetryEvent::Request(Box::new(outcome)));
    }

    /// Records the outcome of a non-idempotent call that another VM forwarded.
    pub fn record_booking(&self, booking: BookingRecord) {
        self.state.put(TelemetryEvent::Booking(booking));
    }

    /// Applies the queued outcomes; called periodically, so that the queue does not fill up and no
    /// request has to empty it.
    pub fn catch_up(&self) {
        self.state.read(|_| ());
    }

    /// Counts an answer as being sent until the returned guard is dropped.
    pub fn open_stream(&self) -> OpenStream {
        self.open_streams.inc();
        OpenStream(self.open_streams.clone())
    }

    /// Returns the number of answers that are being sent.
    pub fn open_stream_count(&self) -> u64 {
        u64::try_from(self.open_streams.get()).unwrap_or(0)
    }

    /// Returns the statistics of the day of `now`.
    pub fn statistics(&self, now: WallTime) -> DayStatistics {
        self.state.read(|state| {
            state.statistics.roll_over(now);
            state.statistics.clone()
        })
    }

    /// Returns all metrics in the text format of OpenMetrics.
    pub fn metrics_text(&self) -> String {
        self.state.read(|state| state.metrics.to_text())
    }
}

impl Absorb for TelemetryState {
    type Item = TelemetryEvent;

    fn absorb(&mut self, event: TelemetryEvent) {
        match event {
            TelemetryEvent::Request(outcome) => {
                self.metrics.add(&outcome);
                self.statistics.absorb(*outcome);
            }
            TelemetryEvent::Booking(booking) => self.statistics.add_booking(booking),
        }
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.dec();
    }
}
