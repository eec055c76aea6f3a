//! Metrics of the traffic between VMs.

use std::fmt;
use std::sync::Arc;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::DescriptorEncoder;
use prometheus_client::encoding::EncodeMetric;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Unit;

use super::metric_labels::FaultLabel;
use super::metric_labels::TrafficLabels;
use crate::peer::ConnectionPurpose;
use crate::peer::MessageKind;
use crate::peer::PeerCounters;
use crate::peer::PeerFault;

/// Reads the counters of the peer transport at each scrape.
#[derive(Debug)]
pub(super) struct PeerCollector {
    counters: Arc<PeerCounters>,
}

impl PeerCollector {
    pub(super) fn new(counters: Arc<PeerCounters>) -> Self {
        Self { counters }
    }

    fn traffic(&self) -> Vec<(TrafficLabels, crate::peer::Traffic)> {
        let labels = |direction, kind: MessageKind| TrafficLabels {
            direction,
            kind: kind.as_str(),
        };
        MessageKind::ALL
            .into_iter()
            .flat_map(|kind| {
                [
                    (labels("sent", kind), self.counters.sent(kind)),
                    (labels("received", kind), self.counters.received(kind)),
                ]
            })
            .collect()
    }

    fn wire(&self) -> Vec<(TrafficLabels, u64)> {
        let purposes = [
            ("control", ConnectionPurpose::Control),
            ("forward", ConnectionPurpose::Forward),
        ];
        purposes
            .into_iter()
            .flat_map(|(kind, purpose)| {
                let labels = |direction| TrafficLabels { direction, kind };
                let counters = &self.counters;
                [
                    (labels("sent"), counters.wire_sent_bytes(purpose)),
                    (labels("received"), counters.wire_received_bytes(purpose)),
                ]
            })
            .collect()
    }
}

impl Collector for PeerCollector {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        let mut messages = encoder.encode_descriptor(
            "peer_messages",
            "Messages between VMs",
            None,
            MetricType::Counter,
        )?;
        for (labels, traffic) in self.traffic() {
            let family = messages.encode_family(&labels)?;
            ConstCounter::new(traffic.messages).encode(family)?;
        }
        let mut bytes = encoder.encode_descriptor(
            "peer_message",
            "Content of messages between VMs",
            Some(&Unit::Bytes),
            MetricType::Counter,
        )?;
        for (labels, traffic) in self.traffic() {
            let family = bytes.encode_family(&labels)?;
            ConstCounter::new(traffic.bytes).encode(family)?;
        }
        let mut wire = encoder.encode_descriptor(
            "peer_wire",
            "Bytes of connections between VMs, framing included",
            Some(&Unit::Bytes),
            MetricType::Counter,
        )?;
        for (labels, count) in self.wire() {
            let family = wire.encode_family(&labels)?;
            ConstCounter::new(count).encode(family)?;
        }
        let mut faults = encoder.encode_descriptor(
            "peer_faults",
            "Faults of connections between VMs",
            None,
            MetricType::Counter,
        )?;
        for fault in PeerFault::ALL {
            let labels = FaultLabel {
                fault: fault.as_str(),
            };
            let family = faults.encode_family(&labels)?;
            ConstCounter::new(self.counters.faults(fault)).encode(family)?;
        }
        Ok(())
    }
}
