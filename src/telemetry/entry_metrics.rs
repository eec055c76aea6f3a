//! Metrics of the entry daemon.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::byte_counter::ByteCounter;
use super::byte_counter::ByteCounters;
use super::byte_counter::ByteKind;
use crate::fleet::PeerDistance;

const PREFIX: &str = "figramp_entry";

/// Upper bounds of the buckets, around the latency targets of short calls (0.3 s) and of streams
/// (1.2 s).
const LATENCY_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.5, 6.0];

/// Upper bounds of the buckets, around the time for which two endpoints may work on one request (0.4 s).
const OVERLAP_BUCKETS_S: [f64; 6] = [0.05, 0.1, 0.2, 0.3, 0.35, 0.4];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabel {
    outcome: &'static str,
}

/// The current values of the gauges, read at each scrape.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryGauges {
    /// The version of the configuration in force.
    pub configuration_version: u64,
    /// The time since the configuration was last confirmed as current, in milliseconds.
    pub configuration_age_ms: u64,
    /// The VMs that are alive, this one included.
    pub alive_vms: u64,
    /// The requests that are being served.
    pub running_requests: u64,
    /// The connections opened to endpoints and other VMs since the daemon started.
    pub opened_connections: u64,
    /// The idle connections closed for new ones, as a request had failed on them.
    pub replaced_connections: u64,
    /// The sets of prompt parts that are quarantined.
    pub quarantined_parts: u64,
}

/// Metrics of the entry daemon, with their registry.
pub struct EntryMetrics {
    registry: Registry,
    answers: Counter,
    refusals: Family<ReasonLabel, Counter>,
    closed_connections: Family<ReasonLabel, Counter>,
    take_ups: Family<OutcomeLabel, Counter>,
    failed_attempts: Counter,
    unsent_attempts: Counter,
    bytes: ByteCounters,
    first_event: Histogram,
    overlap: Histogram,
    configuration_version: Gauge,
    configuration_age_ms: Gauge,
    alive_vms: Gauge,
    running_requests: Gauge,
    opened_connections: Gauge,
    replaced_connections: Gauge,
    quarantined_parts: Gauge,
}

impl EntryMetrics {
    /// Creates the metrics and registers them.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            answers: Counter::default(),
            refusals: Family::default(),
            closed_connections: Family::default(),
            take_ups: Family::default(),
            failed_attempts: Counter::default(),
            unsent_attempts: Counter::default(),
            bytes: ByteCounters::default(),
            first_event: Histogram::new(LATENCY_BUCKETS_S),
            overlap: Histogram::new(OVERLAP_BUCKETS_S),
            configuration_version: Gauge::default(),
            configuration_age_ms: Gauge::default(),
            alive_vms: Gauge::default(),
            running_requests: Gauge::default(),
            opened_connections: Gauge::default(),
            replaced_connections: Gauge::default(),
            quarantined_parts: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("answers", "Answers of endpoints", self.answers.clone());
        let refusals = self.refusals.clone();
        registry.register("refusals", "Answers of the gateway itself", refusals);
        registry.register(
            "closed_connections",
            "Connections closed over the limits on clients",
            self.closed_connections.clone(),
        );
        let take_ups = self.take_ups.clone();
        registry.register("take_ups", "Streams that clients took up", take_ups);
        let failed = self.failed_attempts.clone();
        registry.register("failed_attempts", "Attempts without an answer", failed);
        let unsent = self.unsent_attempts.clone();
        registry.register(
            "unsent_attempts",
            "Attempts whose connection ended before anything was written",
            unsent,
        );
        self.bytes.register(registry);
        let first_event = self.first_event.clone();
        registry.register(
            "first_event_s",
            "Arrival to head of the answer",
            first_event,
        );
        let overlap = self.overlap.clone();
        registry.register(
            "overlap_s",
            "How long a silent answer was kept beside the attempt to resume it",
            overlap,
        );
        let version = self.configuration_version.clone();
        registry.register("configuration_version", "Configuration in force", version);
        let age = self.configuration_age_ms.clone();
        registry.register("configuration_age_ms", "Age of its confirmation", age);
        registry.register("alive_vms", "VMs that are heard", self.alive_vms.clone());
        let running = self.running_requests.clone();
        registry.register("running_requests", "Requests being served", running);
        let opened = self.opened_connections.clone();
        registry.register("opened_connections", "Connections opened", opened);
        let replaced = self.replaced_connections.clone();
        registry.register(
            "replaced_connections",
            "Idle connections closed for a request that had failed on them",
            replaced,
        );
        let parts = self.quarantined_parts.clone();
        registry.register("quarantined_parts", "Request parts not sent on", parts);
    }

    /// Counts an answer whose head arrived `latency` after the request.
    pub fn on_answer(&self, latency: Duration) {
        self.answers.inc();
        self.first_event.observe(latency.as_secs_f64());
    }

    /// Counts a silent answer that was kept beside the attempt to resume it for this time.
    pub fn on_overlap(&self, overlap: Duration) {
        self.overlap.observe(overlap.as_secs_f64());
    }

    /// Counts an attempt that got no answer.
    pub fn on_failed_attempt(&self) {
        self.failed_attempts.inc();
    }

    /// Returns the counter of bytes of a kind to and from a distance; `None` if that is not known.
    pub fn bytes(&self, kind: ByteKind, distance: Option<PeerDistance>) -> ByteCounter {
        self.bytes.get(kind, distance)
    }

    /// Counts an attempt whose connection ended before anything was written.
    pub fn on_unsent_attempt(&self) {
        self.unsent_attempts.inc();
    }

    /// Counts a request that the gateway itself refused.
    pub fn on_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts connections that were closed as they, or all together, were over the limits.
    pub fn on_connections_closed(&self, reason: &'static str, count: u64) {
        self.closed_connections
            .get_or_create(&ReasonLabel { reason })
            .inc_by(count);
    }

    /// Counts a stream that a client took up; `outcome` is `resumed` or the reason of the refusal.
    pub fn on_take_up(&self, outcome: &'static str) {
        self.take_ups.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Encodes the metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics library cannot encode them.
    pub fn encode(&self, gauges: EntryGauges) -> Result<String, fmt::Error> {
        let signed = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        self.configuration_version
            .set(signed(gauges.configuration_version));
        self.configuration_age_ms
            .set(signed(gauges.configuration_age_ms));
        self.alive_vms.set(signed(gauges.alive_vms));
        self.running_requests.set(signed(gauges.running_requests));
        self.opened_connections
            .set(signed(gauges.opened_connections));
        self.replaced_connections
            .set(signed(gauges.replaced_connections));
        self.quarantined_parts.set(signed(gauges.quarantined_parts));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}
