//! The call by which clients ask where to connect.

use std::net::SocketAddr;

use serde::Serialize;

use crate::deployment::RegionKey;
use crate::deployment::Topology;
use crate::deployment::ZoneKey;

const RESOLVE_PATH: &str = "/resolve";
const READY_PATH: &str = "/ready";

/// Where a client that asks stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Its region, if it is known here.
    pub region: Option<RegionKey>,
    /// Its availability zone, if it is known here.
    pub zone: Option<ZoneKey>,
}

impl DirectoryQuery {
    /// Decodes the target of a request; `None` if it is another call.
    pub fn decode(target: &http::Uri, topology: &Topology) -> Option<Self> {
        if target.path() != RESOLVE_PATH {
            return None;
        }
        let value = |name: &str| {
            let pairs = target.query().unwrap_or_default().split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let zone = value("zone").and_then(|zone| topology.zone(zone));
        let region = value("region").and_then(|region| topology.region(region));
        Some(Self { region, zone })
    }

    /// Returns whether a request asks if this VM is ready.
    pub fn is_readiness_check(target: &http::Uri) -> bool {
        target.path() == READY_PATH
    }
}

/// The VMs to which a client may connect.
#[derive(Debug, Serialize)]
pub struct DirectoryAnswer {
    addresses: Vec<SocketAddr>,
    #[serde(rename = "ttlS")]
    ttl_s: u64,
}

impl DirectoryAnswer {
    /// The most addresses that a client takes.
    pub const ADDRESSES_MAX: usize = 64;

    /// Creates an answer that holds for `ttl_s` seconds.
    pub fn new(addresses: Vec<SocketAddr>, ttl_s: u64) -> Self {
        Self { addresses, ttl_s }
    }

    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the library cannot encode it.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }
}
