//! HTTP connection pools, one for each endpoint.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::redirect;
use reqwest::retry;
use reqwest::Client;

use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 2;
const IDLE_MAX_PER_ENDPOINT: usize = 32;

/// HTTP connection pools, one for each endpoint.
///
/// When one connection falls silent, the whole pool is dropped, because its idle connections may be
/// dead as well.
#[derive(Debug, Default)]
pub(super) struct ConnectionPools {
    pools: ArcSwap<HashMap<SocketAddr, Client>>,
    unpooled: OnceLock<Client>,
}

impl ConnectionPools {
    /// Returns the client with the connection pool of `address`; creates it if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the HTTP client can't be built.
    pub(super) fn pooled(&self, address: SocketAddr) -> Result<Client, GatewayError> {
        if let Some(client) = self.pools.load().get(&address) {
            return Ok(client.clone());
        }
        let client = build_client(IDLE_MAX_PER_ENDPOINT)?;
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.entry(address).or_insert_with(|| client.clone());
            pools
        });
        Ok(client)
    }

    /// Returns a client that opens a new connection for each request.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the HTTP client can't be built.
    pub(super) fn unpooled(&self) -> Result<Client, GatewayError> {
        if let Some(client) = self.unpooled.get() {
            return Ok(client.clone());
        }
        let client = build_client(0)?;
        Ok(self.unpooled.get_or_init(|| client).clone())
    }

    /// Drops the pool of `address`, so that later calls open new connections.
    pub(super) fn discard(&self, address: SocketAddr) {
        self.pools.rcu(|pools| {
            let mut pools = HashMap::clone(pools);
            pools.remove(&address);
            pools
        });
    }
}

fn build_client(idle_max_per_endpoint: usize) -> Result<Client, GatewayError> {
    Client::builder()
        .no_proxy()
        .redirect(redirect::Policy::none())
        .retry(retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_max_per_endpoint)
        .tcp_nodelay(true)
        .tcp_keepalive(KEEPALIVE_IDLE)
        .tcp_keepalive_interval(KEEPALIVE_INTERVAL)
        .tcp_keepalive_retries(KEEPALIVE_RETRIES)
        // It would also end a connection to an endpoint that is sound and leaves a long body unread.
        .tcp_user_timeout(None)
        .build()
        .map_err(|_| {
            GatewayError::new(ErrorKind::Internal, "the HTTP client could not be built")
                .with_run(RunState::NotRun)
        })
}
