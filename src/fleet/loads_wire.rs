//! Cap'n Proto encoding of the loads in a row.

use std::num::NonZeroU32;

use super::wire::length;
use super::EndpointLoad;
use super::FleetWireError;
use super::NameHash;
use super::ServiceLoad;
use crate::peer::generated::fleet_capnp::vm_row;

pub(super) fn encode_loads(to: vm_row::Builder<'_>, loads: &[ServiceLoad]) {
    let mut services = to.init_loads(length(loads.len()));
    for (index, load) in (0..).zip(loads) {
        let mut service = services.reborrow().get(index);
        service.set_service(load.service.0);
        let mut endpoints = service.init_endpoints(length(load.endpoints.len()));
        for (index, load) in (0..).zip(&load.endpoints) {
            let mut endpoint = endpoints.reborrow().get(index);
            endpoint.set_endpoint(load.endpoint.0);
            endpoint.set_local_centi(load.local_centi);
            endpoint.set_total_centi(load.total_centi.map_or(0, NonZeroU32::get));
        }
    }
}

pub(super) fn decode_loads(from: vm_row::Reader<'_>) -> Result<Vec<ServiceLoad>, FleetWireError> {
    let services = from.get_loads()?.iter().map(|service| {
        let endpoints = service.get_endpoints()?.iter();
        let endpoints = endpoints.map(|endpoint| EndpointLoad {
            endpoint: NameHash(endpoint.get_endpoint()),
            local_centi: endpoint.get_local_centi(),
            total_centi: NonZeroU32::new(endpoint.get_total_centi()),
        });
        Ok(ServiceLoad {
            service: NameHash(service.get_service()),
            endpoints: endpoints.collect(),
        })
    });
    services.collect()
}
