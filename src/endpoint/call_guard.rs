//! Cancels calls whose answer is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use super::connection_pools::ConnectionPools;
use crate::request::RequestId;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a cancellation to the engine when it is dropped before [`Self::disarm`].
#[derive(Debug)]
pub(super) struct CallGuard {
    pools: Arc<ConnectionPools>,
    address: SocketAddr,
    request_id: RequestId,
    attempt: u64,
    is_armed: bool,
}

impl CallGuard {
    /// Creates a guard of a call that is about to be sent.
    pub(super) fn new(
        pools: Arc<ConnectionPools>,
        address: SocketAddr,
        request_id: RequestId,
    ) -> Self {
        Self {
            pools,
            address,
            request_id,
            attempt: rand::random(),
            is_armed: true,
        }
    }

    /// Returns the random number that identifies this attempt among those of the same request.
    pub(super) const fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Returns the address of the endpoint.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Prevents the cancellation, as nothing is left to cancel.
    pub(super) fn disarm(&mut self) {
        self.is_armed = false;
    }

    /// Drops the endpoint's connection pool after the connection of this call fell silent.
    pub(super) fn discard_pool(&self) {
        self.pools.discard(self.address);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let Ok(runtime) = Handle::try_current() else {
            return;
        };
        let pools = Arc::clone(&self.pools);
        let attempt = Some(self.attempt);
        runtime.spawn(send_cancel(pools, self.address, self.request_id, attempt));
    }
}

/// Asks the engine at `address` to cancel one attempt of a request, or all if `attempt` is `None`.
///
/// A failure is only logged.
pub(super) async fn send_cancel(
    pools: Arc<ConnectionPools>,
    address: SocketAddr,
    request_id: RequestId,
    attempt: Option<u64>,
) {
    let Ok(client) = pools.pooled(address) else {
        return;
    };
    let url = format!("http://{address}/v1/cancel/{request_id}");
    let attempt = attempt.map(|attempt| format!("?attempt={attempt}"));
    let url = url + attempt.as_deref().unwrap_or_default();
    let sent = client.post(url).timeout(CANCEL_TIMEOUT).send().await;
    if let Err(error) = sent {
        log::debug!(request_id:% = request_id; "could not send the cancellation: {error}");
    }
}
