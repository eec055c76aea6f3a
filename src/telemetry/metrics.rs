//! Prometheus metrics of the requests of a VM.

use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use super::metric_labels::AccountLabel;
use super::metric_labels::ErrorLabels;
use super::metric_labels::RequestLabels;
use super::metric_labels::RouteLabel;
use super::peer_collector::PeerCollector;
use super::RequestEnd;
use super::RequestOutcome;
use super::ServedIn;
use crate::catalog::Name;
use crate::peer::PeerCounters;

const PREFIX: &str = "figramp";
const NO_NAME: &str = "none";
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.53, 0.8, 1.5, 3.0, 6.0, 15.0,
];
const BETWEEN_TOKENS_BUCKETS_S: [f64; 11] =
    [0.005, 0.01, 0.02, 0.03, 0.04, 0.06, 0.1, 0.2, 0.5, 1.0, 5.0];
const US_PER_S: f64 = 1_000_000.0;

type LatencyFamily = Family<RouteLabel, Histogram, fn() -> Histogram>;

/// Prometheus metrics of the requests of a VM, with their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    errors: Family<ErrorLabels, Counter>,
    tokens: Family<AccountLabel, Counter>,
    served_in_other_region: Family<AccountLabel, Counter>,
    first_token: LatencyFamily,
    between_tokens: LatencyFamily,
    open_streams: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them, `peer_counters` included.
    pub fn new(peer_counters: Arc<PeerCounters>) -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            errors: Family::default(),
            tokens: Family::default(),
            served_in_other_region: Family::default(),
            first_token: Family::new_with_constructor(first_token_histogram),
            between_tokens: Family::new_with_constructor(between_tokens_histogram),
            open_streams: Gauge::default(),
        };
        metrics.register();
        metrics
            .registry
            .register_collector(Box::new(PeerCollector::new(peer_counters)));
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that have ended, by client account, route and outcome",
            self.requests.clone(),
        );
        registry.register(
            "request_errors",
            "Refusals and failures by kind",
            self.errors.clone(),
        );
        registry.register(
            "charged_tokens",
            "Tokens charged to client accounts",
            self.tokens.clone(),
        );
        registry.register(
            "requests_served_in_other_region",
            "Requests that were served in another region",
            self.served_in_other_region.clone(),
        );
        registry.register_with_unit(
            "first_token",
            "Time from the arrival of a request to the first token of its answer",
            Unit::Seconds,
            self.first_token.clone(),
        );
        registry.register_with_unit(
            "between_tokens",
            "Time between two tokens of an answer",
            Unit::Seconds,
            self.between_tokens.clone(),
        );
        registry.register(
            "open_streams",
            "Answers that are being sent",
            self.open_streams.clone(),
        );
    }

    /// Returns the gauge of answers that are being sent.
    pub fn open_streams(&self) -> &Gauge {
        &self.open_streams
    }

    /// Counts one request that has ended.
    pub fn add(&self, outcome: &RequestOutcome) {
        let client_account = label(outcome.client_account.as_ref());
        let route = label(outcome.route.as_ref());
        let labels = RequestLabels {
            client_account: client_account.clone(),
            route: route.clone(),
            outcome: outcome_label(outcome.end),
        };
        self.requests.get_or_create(&labels).inc();
        self.add_error(outcome.end);
        let account = AccountLabel { client_account };
        self.tokens.get_or_create(&account).inc_by(outcome.tokens);
        if outcome.served_in == ServedIn::OtherRegion {
            self.served_in_other_region.get_or_create(&account).inc();
        }
        let route = RouteLabel { route };
        if let Some(first_token_us) = outcome.times.first_token_us {
            let histogram = self.first_token.get_or_create(&route);
            histogram.observe(as_s(first_token_us));
        }
        let gaps = self.between_tokens.get_or_create(&route);
        for gap_us in &outcome.times.between_tokens_us {
            gaps.observe(as_s(u64::from(*gap_us)));
        }
    }

    fn add_error(&self, end: RequestEnd) {
        let labels = match end {
            RequestEnd::Answered | RequestEnd::Cancelled => return,
            RequestEnd::Refused(kind) => ErrorLabels {
                kind: kind.answer().code,
                stage: "refused",
            },
            RequestEnd::Failed(kind) => ErrorLabels {
                kind: kind.answer().code,
                stage: "failed",
            },
        };
        self.errors.get_or_create(&labels).inc();
    }

    /// Returns all metrics in the text format of OpenMetrics.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!("cannot encode the metrics: {error}");
        }
        text
    }
}

fn label(name: Option<&Name>) -> String {
    name.map_or(NO_NAME, Name::as_str).to_owned()
}

fn outcome_label(end: RequestEnd) -> &'static str {
    match end {
        RequestEnd::Answered => "answered",
        RequestEnd::Refused(_) => "refused",
        RequestEnd::Failed(_) => "failed",
        RequestEnd::Cancelled => "cancelled",
    }
}

fn first_token_histogram() -> Histogram {
    Histogram::new(FIRST_TOKEN_BUCKETS_S)
}

fn between_tokens_histogram() -> Histogram {
    Histogram::new(BETWEEN_TOKENS_BUCKETS_S)
}

fn as_s(latency_us: u64) -> f64 {
    let latency_us = u32::try_from(latency_us).unwrap_or(u32::MAX);
    f64::from(latency_us) / US_PER_S
}
