//! The record that an endpoint writes about itself to the store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::catalog::Name;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;
use crate::deployment::SoftwareVersion;
use crate::deployment::Topology;

#[derive(Debug, Deserialize)]
struct RecordWire {
    service: String,
    address: SocketAddr,
    zone: String,
    version: String,
    slots: u32,
    state: StateWire,
    /// The time until the endpoint is no longer cold, counted from the write.
    #[serde(rename = "coldRemainingMs", default)]
    cold_remaining_ms: f64,
    sequence: u64,
    /// When the endpoint started, in Unix milliseconds.
    #[serde(default)]
    born: u64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateWire {
    Ready,
    Draining,
}

/// Decodes the record of the endpoint `id`; `None` if it does not describe a usable endpoint.
///
/// Other writers may store arbitrary bytes, fields or states under the keys of endpoints.
pub fn decode_record(id: &str, bytes: &[u8], topology: &Topology) -> Option<EndpointRecord> {
    let wire: RecordWire = serde_json::from_slice(bytes).ok()?;
    let cold_remaining = Duration::try_from_secs_f64(wire.cold_remaining_ms.max(0.0) / 1_000.0);
    Some(EndpointRecord {
        instance: InstanceId {
            id: Name::new(id).ok()?,
            started_unix_ms: wire.born,
        },
        service: Name::new(wire.service).ok()?,
        version: Some(SoftwareVersion::from_name(&wire.version)?),
        address: wire.address,
        zone: topology.zone(&wire.zone)?,
        slots: wire.slots,
        phase: match wire.state {
            StateWire::Ready => EndpointPhase::Ready,
            StateWire::Draining => EndpointPhase::Draining,
        },
        cold_remaining: cold_remaining.ok()?,
        sequence: wire.sequence,
    })
}
