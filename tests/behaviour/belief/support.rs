//! Configurations and records for tests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use figramp::belief::Configuration;
use figramp::catalog::Name;
use figramp::clock::Monotonic;
use figramp::deployment::ClientLimits;
use figramp::deployment::DeploymentBuilder;
use figramp::deployment::EndpointListing;
use figramp::deployment::EndpointPhase;
use figramp::deployment::EndpointRecord;
use figramp::deployment::InstanceId;
use figramp::deployment::ListingVersion;
use figramp::deployment::SoftwareVersion;
use figramp::deployment::ZoneKey;

pub(crate) fn at(ms: u64) -> Monotonic {
    Monotonic::from_ms(ms)
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("a name")
}

pub(crate) fn configuration(version: u64) -> Configuration {
    let deployment = DeploymentBuilder::new(version, ClientLimits::default()).build();
    Configuration {
        deployment: Rc::new(deployment),
        encoded: Bytes::from(version.to_string()),
        compressed: Rc::default(),
    }
}

pub(crate) fn record(id: &str, zone: u16) -> EndpointRecord {
    EndpointRecord {
        instance: InstanceId {
            id: name(id),
            started_unix_ms: 1,
        },
        service: name("engine"),
        version: SoftwareVersion::from_name("v1"),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        zone: ZoneKey(zone),
        slots: 8,
        phase: EndpointPhase::Ready,
        cold_remaining: Duration::ZERO,
        sequence: 1,
    }
}

pub(crate) fn listing(ids: &[&str]) -> EndpointListing {
    let mut port = 8000;
    let endpoints = ids.iter().map(|id| {
        port += 1;
        EndpointRecord {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            ..record(id, 0)
        }
    });
    EndpointListing {
        endpoints: endpoints.collect(),
        ..EndpointListing::default()
    }
}

/// Returns a version of the first era.
pub(crate) fn revision(revision: u64) -> ListingVersion {
    ListingVersion { era: 0, revision }
}
