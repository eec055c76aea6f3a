//! Lists of models and VMs as callers see them.

use serde::Serialize;

use super::EntryAnswer;
use super::EntryList;
use super::ModelList;

/// The list of models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct ModelListWire {
    object: &'static str,
    data: Vec<ModelWire>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct ModelWire {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// The list of VMs to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct EntryListWire {
    entries: Vec<EntryWire>,
    time_to_live_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct EntryWire {
    vm: String,
    region: String,
    address: String,
}

impl From<ModelList> for ModelListWire {
    fn from(list: ModelList) -> Self {
        let models = list.models.into_iter().map(|name| ModelWire {
            id: name.as_str().to_owned(),
            object: "model",
            owned_by: "figramp",
        });
        Self {
            object: "list",
            data: models.collect(),
        }
    }
}

impl From<EntryList> for EntryListWire {
    fn from(list: EntryList) -> Self {
        Self {
            entries: list.entries.into_iter().map(EntryWire::from).collect(),
            time_to_live_ms: u64::try_from(list.time_to_live.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

impl From<EntryAnswer> for EntryWire {
    fn from(entry: EntryAnswer) -> Self {
        Self {
            vm: entry.vm.as_str().to_owned(),
            region: entry.region.as_str().to_owned(),
            address: entry.address.to_string(),
        }
    }
}
