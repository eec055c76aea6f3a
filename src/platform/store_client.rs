//! The client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use percent_encoding::utf8_percent_encode;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::decode_record;
use super::item_wire::Item;
use super::item_wire::ItemPage;
use super::StoreError;
use crate::deployment::EndpointListing;
use crate::deployment::Topology;
use crate::telemetry::ByteCounter;
use crate::telemetry::CountedStream;

const CONFIGURATION_KEY: &str = "op/config";
const EVACUATION_PREFIX: &str = "op/evacuate/";
const ENDPOINT_PREFIX: &str = "servers/";

/// The characters of a key that are escaped in a query; any writer may have put a key into the store.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'/')
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// The prefix of all keys, so that one read returns configuration, evacuations and endpoints.
const READ_PREFIX: &str = "";

/// The number of times that the store was restored from a backup.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// The longest body of a page: several times the length at which the store truncates one.
const PAGE_MAX_BYTES: usize = 8 * 1024 * 1024;

/// The timeout of one page: more than 60 times the store's usual 4 ms, and less than the age at
/// which a belief is rejected as stale.
const CALL_TIMEOUT_MS: u64 = 900;

/// A page of the store, with the era that its answer reported.
struct Page {
    era: Option<u64>,
    items: ItemPage,
}

/// Everything that the store holds for the system.
#[derive(Debug, Default)]
pub struct StoreContent {
    /// The era of the store, which rises when it is restored from a backup; `None` if the store
    /// reports no readable one.
    pub era: Option<u64>,
    /// The lowest store revision of the pages read.
    pub revision: u64,
    /// The encoded configuration; `None` if the store holds none.
    pub configuration: Option<Bytes>,
    /// The endpoints and evacuated zones.
    pub listing: EndpointListing,
    /// The number of records that describe no usable endpoint.
    pub unreadable_count: usize,
}

/// Reads the platform's store over one persistent connection.
pub struct StoreClient {
    address: SocketAddr,
    topology: Topology,
    bytes: ByteCounter,
    connection: Option<SendRequest<Empty<Bytes>>>,
}

impl StoreClient {
    /// Creates a client, which connects on the first call.
    pub const fn new(address: SocketAddr, topology: Topology, bytes: ByteCounter) -> Self {
        Self {
            address,
            topology,
            bytes,
            connection: None,
        }
    }

    /// Reads all pages of the store; each page is a linearizable read.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if a page is refused, times out, is lost or cannot be parsed, or if
    /// the pages are of two eras.
    pub async fn read(&mut self) -> Result<StoreContent, StoreError> {
        let mut content = StoreContent {
            revision: u64::MAX,
            ..StoreContent::default()
        };
        self.read_prefix(READ_PREFIX, &mut content).await?;
        content
            .listing
            .endpoints
            .sort_by(|a, b| a.instance.cmp(&b.instance));
        Ok(content)
    }

    async fn read_prefix(
        &mut self,
        prefix: &str,
        content: &mut StoreContent,
    ) -> Result<(), StoreError> {
        let mut after = String::new();
        loop {
            let Page { era, items: page } = self.read_page(prefix, &after).await?;
            if !after.is_empty() && era != content.era {
                return Err(StoreError::EraChanged);
            }
            content.era = era;
            content.revision = content.revision.min(page.revision);
            content.unreadable_count += page.unreadable_count;
            let Some(last) = page.items.last() else {
                return Ok(());
            };
            after.clone_from(&last.key);
            for item in page.items {
                self.add_item(item, content);
            }
            if !page.is_truncated {
                return Ok(());
            }
        }
    }

    fn add_item(&self, item: Item, content: &mut StoreContent) {
        let Item {
            key,
            content: bytes,
        } = item;
        if key == CONFIGURATION_KEY {
            content.configuration = bytes.map(Bytes::from);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            content.listing.evacuated.extend(self.topology.zone(zone));
        } else if let Some(id) = key.strip_prefix(ENDPOINT_PREFIX) {
            let record = bytes.and_then(|bytes| decode_record(id, &bytes, &self.topology));
            match record {
                Some(record) => content.listing.endpoints.push(record),
                None => content.unreadable_count += 1,
            }
        }
    }

    async fn read_page(&mut self, prefix: &str, after: &str) -> Result<Page, StoreError> {
        let prefix = utf8_percent_encode(prefix, ESCAPED);
        let query = match after {
            "" => format!("/kv-range?prefix={prefix}"),
            after => {
                let after = utf8_percent_encode(after, ESCAPED);
                format!("/kv-range?prefix={prefix}&after={after}")
            }
        };
        let limit = Duration::from_millis(CALL_TIMEOUT_MS);
        let result = match timeout(limit, self.get(&query)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Timeout {
                timeout_ms: CALL_TIMEOUT_MS,
            }),
        };
        if !matches!(result, Ok(_) | Err(StoreError::Refused { .. })) {
            // A connection on which an answer was lost cannot be reused.
            self.connection = None;
        }
        let answer = result?;
        Ok(Page {
            era: era(answer.headers()),
            items: ItemPage::try_from(answer.body().as_ref())?,
        })
    }

    async fn get(&mut self, path_and_query: &str) -> Result<Response<Bytes>, StoreError> {
        let address = self.address;
        let connection = self.ready_connection().await?;
        let request = Request::get(path_and_query)
            .header(header::HOST, address.to_string())
            .body(Empty::new())
            .expect("escaped keys form a valid query");
        let (parts, body) = connection.send_request(request).await?.into_parts();
        let body = Limited::new(body, PAGE_MAX_BYTES).collect().await;
        let body = body.map_err(StoreError::Body)?.to_bytes();
        if !parts.status.is_success() {
            return Err(StoreError::Refused {
                status: parts.status.as_u16(),
            });
        }
        Ok(Response::from_parts(parts, body))
    }

    async fn ready_connection(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, StoreError> {
        let is_usable = match &mut self.connection {
            Some(connection) => connection.ready().await.is_ok(),
            None => false,
        };
        if !is_usable {
            self.connection = Some(self.connect().await?);
        }
        Ok(self
            .connection
            .as_mut()
            .expect("the connection was just opened"))
    }

    async fn connect(&self) -> Result<SendRequest<Empty<Bytes>>, StoreError> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(StoreError::Connect)?;
        let stream = CountedStream::new(stream, self.bytes.clone());
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("the connection to the store failed: {error}");
            }
        });
        Ok(sender)
    }
}

fn era(headers: &HeaderMap) -> Option<u64> {
    headers.get(ERA)?.to_str().ok()?.trim().parse().ok()
}
