//! The items of the store, as a range read returns them.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use serde::Deserialize;
use serde_json::value::RawValue;

/// A page of items. Other writers may have stored any JSON, so each item is parsed by itself: one that
/// is nested too deeply, or has a number out of range, would otherwise make the page unreadable.
#[derive(Debug, Deserialize)]
struct PageWire<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    /// Whether more items follow the last one.
    #[serde(default)]
    truncated: bool,
    /// The revision of the whole store when the page was read.
    #[serde(rename = "storeRevision")]
    store_revision: u64,
}

/// One key of the store with its value.
#[derive(Debug, Deserialize)]
struct ItemWire<'a> {
    key: String,
    /// The content in base64.
    #[serde(borrow, default)]
    value: Option<&'a RawValue>,
}

/// One key of the store with its content; `None` if that is no base64 text.
#[derive(Debug)]
pub(super) struct Item {
    pub(super) key: String,
    pub(super) content: Option<Vec<u8>>,
}

/// A decoded page.
#[derive(Debug)]
pub(super) struct ItemPage {
    pub(super) items: Vec<Item>,
    /// The number of items without a readable key.
    pub(super) unreadable_count: usize,
    pub(super) is_truncated: bool,
    pub(super) revision: u64,
}

impl TryFrom<&[u8]> for ItemPage {
    type Error = serde_json::Error;

    /// Decodes the body of an answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the page as a whole is no JSON of the expected form.
    fn try_from(body: &[u8]) -> Result<Self, Self::Error> {
        let text = String::from_utf8_lossy(body);
        let wire: PageWire<'_> = serde_json::from_str(&text)?;
        let items: Vec<Item> = wire.items.iter().filter_map(|item| decode(item)).collect();
        Ok(Self {
            unreadable_count: wire.items.len() - items.len(),
            items,
            is_truncated: wire.truncated,
            revision: wire.store_revision,
        })
    }
}

fn decode(item: &RawValue) -> Option<Item> {
    let wire: ItemWire<'_> = serde_json::from_str(item.get()).ok()?;
    let text = wire
        .value
        .and_then(|value| serde_json::from_str::<String>(value.get()).ok());
    Some(Item {
        key: wire.key,
        content: text.and_then(|text| STANDARD.decode(text).ok()),
    })
}
