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
            is_armed: true,
        }
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
        runtime.spawn(send_cancel(connections, self.address, self.request_id));
    }
}

/// Tells the engine at `address` that an answer is no longer wanted; a failure is of no
/// consequence.
pub(super) async fn send_cancel(
    connections: Arc<Connections>,
    address: SocketAddr,
    request_id: RequestId,
) {
    let Ok(client) = connections.pool(address) else {
        return;
    };
    let url = format!("http://{address}/v1/cancel/{request_id}");
    let sent = client.post(url).timeout(CANCEL_TIMEOUT).send().await;
    if let Err(error) = sent {
        log::debug!(request_id:% = request_id; "cancel was not delivered: {error}");
    }
}
