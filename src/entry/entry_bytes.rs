//! The counters of the bytes to and from endpoints and other VMs.

use std::net::Ipv4Addr;

use super::EntryState;
use crate::deployment::ZoneKey;
use crate::fleet::PeerDistance;
use crate::placement::EndpointKey;
use crate::telemetry::ByteCounter;
use crate::telemetry::ByteKind;

impl EntryState {
    /// Returns the counter of bytes to and from an endpoint.
    pub fn endpoint_bytes(&self, endpoint: EndpointKey) -> ByteCounter {
        let endpoints = self.endpoints.borrow();
        let zone = endpoints.get(endpoint).map(|state| state.record().zone);
        let distance = zone.map(|zone| self.zone_distance(zone));
        self.metrics.bytes(ByteKind::Endpoints, distance)
    }

    /// Returns the counter of bytes of a kind to and from another VM.
    pub fn vm_bytes(&self, kind: ByteKind, ip: Ipv4Addr) -> ByteCounter {
        let fleet = self.fleet.borrow();
        let distance = fleet.is_known(ip).then(|| fleet.distance(ip));
        self.metrics.bytes(kind, distance)
    }

    fn zone_distance(&self, zone: ZoneKey) -> PeerDistance {
        let topology = &self.settings.topology;
        if zone == self.settings.zone {
            PeerDistance::SameZone
        } else if topology.region_of(zone) == self.settings.region {
            PeerDistance::SameRegion
        } else {
            PeerDistance::OtherRegion
        }
    }
}
