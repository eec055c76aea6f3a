//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use serde_json::json;
use tokio::task::JoinHandle;

use super::http_listener;

/// The fault that the store stand-in simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Calls are answered normally.
    #[default]
    None,
    /// Calls are refused with status 503.
    Busy,
    /// Calls are never answered.
    Silent,
}

#[derive(Debug, Default)]
struct StoreState {
    items: BTreeMap<String, Vec<u8>>,
    /// Items of another writer, as they stand in the list: each any text.
    odd_items: Vec<String>,
    revision: u64,
    era: u64,
    fault: StoreFault,
    call_count: u64,
    /// The number of items after which a page is truncated; `None` for one page.
    page_size: Option<usize>,
}

/// The content of a store at some time, which it can be restored from.
#[derive(Clone, Debug)]
pub struct StoreBackup {
    items: BTreeMap<String, Vec<u8>>,
    revision: u64,
}

/// A store whose items are listed by prefix.
#[derive(Debug)]
pub struct StoreServer {
    address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    task: JoinHandle<()>,
}

impl StoreServer {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(StoreState::default()));
        let served = Arc::clone(&state);
        let (address, task) = http_listener::serve(address, move |request| {
            let state = Arc::clone(&served);
            async move {
                let fault = {
                    let mut state = state.lock();
                    state.call_count += 1;
                    state.fault
                };
                if fault == StoreFault::Silent {
                    std::future::pending::<()>().await;
                }
                let query = request.uri().query().unwrap_or_default();
                Ok::<_, Infallible>(match fault {
                    StoreFault::None => page(&state.lock(), query),
                    _ => empty(StatusCode::SERVICE_UNAVAILABLE),
                })
            }
        })
        .await?;
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address that the store is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item and increments the revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) {
        let mut state = self.state.lock();
        state.revision += 1;
        state.items.insert(key.to_owned(), value.into());
    }

    /// Adds an item that is listed as this text, and increments the revision.
    pub fn put_odd(&self, item: impl Into<String>) {
        let mut state = self.state.lock();
        state.revision += 1;
        state.odd_items.push(item.into());
    }

    /// Removes an item and increments the revision.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock();
        state.revision += 1;
        state.items.remove(key);
    }

    /// Returns a backup of the current content.
    pub fn backup(&self) -> StoreBackup {
        let state = self.state.lock();
        StoreBackup {
            items: state.items.clone(),
            revision: state.revision,
        }
    }

    /// Replaces the content and the revision by those of a backup, in a new era.
    pub fn restore(&self, backup: &StoreBackup) {
        let mut state = self.state.lock();
        state.items.clone_from(&backup.items);
        state.revision = backup.revision;
        state.era += 1;
    }

    /// Replaces the simulated fault.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Truncates pages after this number of items.
    pub fn set_page_size(&self, page_size: usize) {
        self.state.lock().page_size = Some(page_size);
    }

    /// Returns the number of calls received so far.
    pub fn call_count(&self) -> u64 {
        self.state.lock().call_count
    }
}

impl Drop for StoreServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn page(state: &StoreState, query: &str) -> Response<Full<Bytes>> {
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode_str(value).decode_utf8_lossy())
            .next()
            .unwrap_or_default()
    };
    let (prefix, after) = (value("prefix"), value("after"));
    let mut items = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(&*prefix) && ***key > *after)
        .map(|(key, value)| {
            json!({"key": key, "value": STANDARD.encode(value), "lease": 0}).to_string()
        });
    let page_size = state.page_size.unwrap_or(usize::MAX);
    let listed = items.by_ref().take(page_size);
    let listed: Vec<String> = state.odd_items.iter().cloned().chain(listed).collect();
    let page = format!(
        "{{\"items\":[{}],\"truncated\":{},\"storeRevision\":{}}}",
        listed.join(","),
        items.next().is_some(),
        state.revision
    );
    let mut response = Response::new(Full::from(page));
    let era = HeaderValue::from(state.era);
    response.headers_mut().insert("store-era", era);
    response
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
