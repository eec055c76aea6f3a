//! The HTTP client of the platform.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use serde::de::DeserializeOwned;

use super::wire::TicketsWire;
use super::wire::VmsWire;
use super::PlatformClient;
use super::PlatformError;
use super::TicketBatch;
use super::VmListEntry;
use crate::catalog::TicketNumber;

/// The maximum size of a response body, in bytes.
pub const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Reads the platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatformClient {
    http: reqwest::Client,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpPlatformClient {
    /// Creates a client; `timeout` limits connecting, and the whole request beyond its `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP library cannot be set up.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PlatformError> {
        let http = reqwest::Client::builder()
            .connect_timeout(timeout)
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|error| unavailable(&error))?;
        Ok(Self {
            http,
            address,
            timeout,
        })
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path_and_query: &str,
        wait: Duration,
    ) -> Result<T, PlatformError> {
        let url = format!("http://{}{path_and_query}", self.address);
        let response = self
            .http
            .get(url)
            .timeout(wait + self.timeout)
            .send()
            .await
            .map_err(|error| unavailable(&error))?;
        if !response.status().is_success() {
            return Err(PlatformError::Unavailable {
                reason: format!("status {}", response.status().as_u16()),
            });
        }
        let body = read_body(response).await?;
        let mut deserializer = serde_json::Deserializer::from_slice(&body);
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| malformed(&error))
    }
}

#[async_trait]
impl PlatformClient for HttpPlatformClient {
    async fn tickets(
        &self,
        after: TicketNumber,
        wait: Duration,
    ) -> Result<TicketBatch, PlatformError> {
        let path = format!("/v1/tickets?after={after}&wait_ms={}", wait.as_millis());
        let wire: TicketsWire = self.read(&path, wait).await?;
        Ok(TicketBatch::from(wire))
    }

    async fn vms(&self) -> Result<Vec<VmListEntry>, PlatformError> {
        let wire: VmsWire = self.read("/v1/vms", Duration::ZERO).await?;
        wire.try_into()
    }
}

async fn read_body(response: reqwest::Response) -> Result<Vec<u8>, PlatformError> {
    let mut body = Vec::new();
    let mut chunks = response.bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|error| unavailable(&error))?;
        if body.len() + chunk.len() > RESPONSE_MAX_BYTES {
            return Err(malformed(&format!(
                "longer than {RESPONSE_MAX_BYTES} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn unavailable(error: &reqwest::Error) -> PlatformError {
    let reason = if error.is_timeout() {
        "timed out".to_owned()
    } else if error.is_connect() {
        "no connection".to_owned()
    } else {
        error.to_string()
    };
    PlatformError::Unavailable { reason }
}

fn malformed(reason: &impl ToString) -> PlatformError {
    PlatformError::Malformed {
        reason: reason.to_string(),
    }
}
