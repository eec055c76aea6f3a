//! The items of the store, as a range read returns them.

use serde::Deserialize;

/// A page of items.
#[derive(Debug, Deserialize)]
pub(super) struct PageWire {
    pub(super) items: Vec<ItemWire>,
    /// Whether more items follow the last one.
    #[serde(default)]
    pub(super) truncated: bool,
    /// The revision of the whole store when the page was read.
    #[serde(rename = "storeRevision")]
    pub(super) store_revision: u64,
}

/// One key of the store with its value.
#[derive(Debug, Deserialize)]
pub(super) struct ItemWire {
    pub(super) key: String,
    /// The content in base64; other writers may have stored any JSON value here.
    #[serde(default)]
    pub(super) value: serde_json::Value,
}
