//! Cancellation of calls whose answer is dropped.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;

use super::connections::Connections;
use crate::request::RequestId;

const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Cancels a call at its engine when it is dropped before the end mark.
#[derive(Debug)]
pub(super) struct CallGuard {
    connections: Arc<Connections>,
    address: SocketAddr,
    request_id: RequestId,
    attempt: u64,
    is_armed: bool,
}

impl CallGuard {
    /// Creates a guard of a call that is about to be sent.
    pub(super) fn new(
        connections: Arc<Connections>,
        address: SocketAddr,
        request_id: RequestId,
    ) -> Self {
        Self {
            connections,
            address,
            request_id,
            attempt: rand::random(),
            is_armed: true,
        }
    }

    /// Returns the number that tells this attempt from others at the same request.
    pub(super) const fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Records that nothing is left to cancel.
    pub(super) fn disarm(&mut self) {
        self.is_armed = false;
    }

    /// Records that the connection fell silent.
    pub(super) fn forget_connections(&self) {
        self.connections.forget(self.address);
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
        let connections = Arc::clone(&self.connections);
        let attempt = Some(self.attempt);
        runtime.spawn(send_cancel(
            connections,
            self.address,
            self.request_id,
            attempt,
        ));
    }
}

/// Tells the engine at `address` that one attempt at an answer, or all of them, are no longer
/// wanted; a failure is of no consequence.
pub(super) async fn send_cancel(
    connections: Arc<Connections>,
    address: SocketAddr,
    request_id: RequestId,
    attempt: Option<u64>,
) {
    let Ok(client) = connections.pool(address) else {
        return;
    };
    let url = format!("http://{address}/v1/cancel/{request_id}");
    let attempt = attempt.map(|attempt| format!("?attempt={attempt}"));
    let url = url + attempt.as_deref().unwrap_or_default();
    let sent = client.post(url).timeout(CANCEL_TIMEOUT).send().await;
    if let Err(error) = sent {
        log::debug!(request_id:% = request_id; "cancel was not delivered: {error}");
    }
}
