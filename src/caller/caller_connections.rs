//! The open connections of callers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;

use super::caller_connection::CallerConnection;

/// The open connections of callers, by the address from which each is relayed to the HTTP server.
#[derive(Debug, Default)]
pub(super) struct CallerConnections {
    by_relay_address: Mutex<HashMap<SocketAddr, Arc<CallerConnection>>>,
}

impl CallerConnections {
    /// Adds a connection that is relayed to the HTTP server from `relay_address`.
    pub(super) fn open(&self, relay_address: SocketAddr) -> Arc<CallerConnection> {
        let connection = Arc::new(CallerConnection::default());
        let mut by_relay_address = self.by_relay_address.lock();
        by_relay_address.insert(relay_address, Arc::clone(&connection));
        connection
    }

    /// Removes the connection that is relayed from `relay_address`.
    pub(super) fn close(&self, relay_address: SocketAddr) {
        self.by_relay_address.lock().remove(&relay_address);
    }

    /// Finds the connection that is relayed from `relay_address`.
    pub(super) fn find(&self, relay_address: SocketAddr) -> Option<Arc<CallerConnection>> {
        self.by_relay_address.lock().get(&relay_address).cloned()
    }
}
