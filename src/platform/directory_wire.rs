//! The directory request, by which clients look up the VMs to connect to.

use std::net::SocketAddr;

use serde::Serialize;

use crate::deployment::RegionKey;
use crate::deployment::Topology;
use crate::deployment::ZoneKey;

const RESOLVE_PATH: &str = "/resolve";
const READY_PATH: &str = "/ready";

/// The location of a client that queries the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The region; `None` if it was not given or is unknown.
    pub region: Option<RegionKey>,
    /// The availability zone; `None` if it was not given or is unknown.
    pub zone: Option<ZoneKey>,
}

impl DirectoryQuery {
    /// Decodes the target of a request; `None` if it is not a directory request.
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

    /// Returns whether a request is a readiness check of this VM.
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
    /// The largest number of addresses that a client accepts.
    pub const ADDRESSES_MAX: usize = 64;

    /// Creates an answer that clients may cache for `ttl_s` seconds.
    pub fn new(addresses: Vec<SocketAddr>, ttl_s: u64) -> Self {
        Self { addresses, ttl_s }
    }

    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }
}
