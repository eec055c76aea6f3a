//! Identifiers of published objects.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::catalog::Name;
use crate::catalog::ObjectSpec;

/// The kind of a published object.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A region with its availability zones.
    Region,
    /// An entry VM.
    Vm,
    /// A client account.
    ClientAccount,
    /// An API key, named by the SHA-256 digest of its text.
    ApiKey,
    /// A route.
    Route,
    /// An endpoint.
    Endpoint,
    /// A placement rule.
    PlacementRule,
}

/// The identifier of a published object, unique across all kinds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId {
    /// The kind.
    pub kind: ObjectKind,
    /// The name, unique among objects of the kind.
    pub name: Name,
}

/// A 64-bit hash of an [`ObjectId`], used in digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectHash(pub u64);

impl ObjectKind {
    /// Returns the kind's name in change tickets.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Vm => "vm",
            Self::ClientAccount => "client_account",
            Self::ApiKey => "api_key",
            Self::Route => "route",
            Self::Endpoint => "endpoint",
            Self::PlacementRule => "placement_rule",
        }
    }

    /// Returns the kind of a value.
    pub const fn of_spec(spec: &ObjectSpec) -> Self {
        match spec {
            ObjectSpec::Region(_) => Self::Region,
            ObjectSpec::Vm(_) => Self::Vm,
            ObjectSpec::ClientAccount(_) => Self::ClientAccount,
            ObjectSpec::ApiKey(_) => Self::ApiKey,
            ObjectSpec::Route(_) => Self::Route,
            ObjectSpec::Endpoint(_) => Self::Endpoint,
            ObjectSpec::PlacementRule(_) => Self::PlacementRule,
        }
    }
}

impl ObjectId {
    /// Returns the hash that represents the identifier in digests.
    pub fn hash(&self) -> ObjectHash {
        let seed = self.kind as u64;
        ObjectHash(xxh3_64_with_seed(self.name.as_str().as_bytes(), seed))
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} \"{}\"", self.kind.as_str(), self.name)
    }
}
