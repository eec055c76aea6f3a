//! Wire types of load reports and orders.

use serde::Deserialize;
use serde::Serialize;

use super::CacheEvent;
use super::EndpointOrder;
use super::LoadReport;
use crate::catalog::Name;
use crate::catalog::NameError;
use crate::catalog::TicketNumber;

/// A load report.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct LoadReportWire {
    /// The number of running requests.
    pub running: u32,
    /// The number of requests that wait inside the endpoint.
    pub waiting: u32,
    /// The share of cache memory in use, in thousandths.
    #[serde(default)]
    pub cache_used_permille: u32,
    /// The age of the report when it was sent, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// The sequence number of the last cache event.
    #[serde(default)]
    pub cache_sequence: u64,
    /// The cache events after the requested sequence number.
    #[serde(default)]
    pub cache_events: Vec<CacheEventWire>,
}

/// A change of the prefixes in the cache.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct CacheEventWire {
    /// The sequence number.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub is_stored: bool,
}

/// An order to load a version of a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct OrderWire {
    /// The fencing token.
    pub fencing: u64,
    /// The model.
    pub model: String,
    /// The version.
    pub version: String,
}

/// The answer to an order that was refused because of its fencing token.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct FencedWire {
    /// The highest fencing token that the engine has seen.
    pub highest: u64,
}

impl From<LoadReport> for LoadReportWire {
    fn from(report: LoadReport) -> Self {
        Self {
            running: report.running,
            waiting: report.waiting,
            cache_used_permille: report.cache_used_permille,
            age_ms: report.age_ms,
            cache_sequence: report.cache_sequence,
            cache_events: report.cache_events.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<LoadReportWire> for LoadReport {
    fn from(wire: LoadReportWire) -> Self {
        Self {
            running: wire.running,
            waiting: wire.waiting,
            cache_used_permille: wire.cache_used_permille,
            age_ms: wire.age_ms,
            cache_sequence: wire.cache_sequence,
            cache_events: wire.cache_events.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<CacheEvent> for CacheEventWire {
    fn from(event: CacheEvent) -> Self {
        Self {
            sequence: event.sequence,
            prefix_hash: event.prefix_hash,
            is_stored: event.is_stored,
        }
    }
}

impl From<CacheEventWire> for CacheEvent {
    fn from(wire: CacheEventWire) -> Self {
        Self {
            sequence: wire.sequence,
            prefix_hash: wire.prefix_hash,
            is_stored: wire.is_stored,
        }
    }
}

impl From<EndpointOrder> for OrderWire {
    fn from(order: EndpointOrder) -> Self {
        Self {
            fencing: order.fencing.0,
            model: order.model.as_str().to_owned(),
            version: order.version.as_str().to_owned(),
        }
    }
}

impl TryFrom<OrderWire> for EndpointOrder {
    type Error = NameError;

    fn try_from(wire: OrderWire) -> Result<Self, Self::Error> {
        Ok(Self {
            fencing: TicketNumber(wire.fencing),
            model: Name::new(wire.model)?,
            version: Name::new(wire.version)?,
        })
    }
}

impl From<TicketNumber> for FencedWire {
    fn from(highest: TicketNumber) -> Self {
        Self { highest: highest.0 }
    }
}
