//! The listener that callers connect to.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::task::TaskTracker;

use super::caller_connections::CallerConnections;
use super::connection_relay::relay;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts callers' connections and relays them to the HTTP server.
#[derive(Debug)]
pub(super) struct CallerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    relays: TaskTracker,
}

impl CallerListener {
    /// Starts to listen on `bind_address`, and relays to the HTTP server at `server`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address can't be listened on.
    pub(super) async fn start(
        bind_address: SocketAddr,
        server: SocketAddr,
        connections: Arc<CallerConnections>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(bind_address).await?;
        let address = listener.local_addr()?;
        let relays = TaskTracker::new();
        let accepting = tokio::spawn(accept(listener, server, connections, relays.clone()));
        Ok(Self {
            address,
            accepting,
            relays,
        })
    }

    /// Returns the address that callers connect to.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections.
    pub(super) fn stop_accepting(&self) {
        self.accepting.abort();
        self.relays.close();
    }

    /// Completes once no connection is left.
    pub(super) async fn closed(&self) {
        self.relays.wait().await;
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    connections: Arc<CallerConnections>,
    relays: TaskTracker,
) {
    loop {
        match listener.accept().await {
            Ok((caller, _)) => {
                relays.spawn(serve(caller, server, Arc::clone(&connections)));
            }
            Err(error) => {
                log::warn!("a caller's connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(caller: TcpStream, server: SocketAddr, connections: Arc<CallerConnections>) {
    if let Err(error) = try_serve(caller, server, &connections).await {
        log::warn!("a caller's connection was not relayed: {error}");
    }
}

async fn try_serve(
    caller: TcpStream,
    server: SocketAddr,
    connections: &CallerConnections,
) -> io::Result<()> {
    caller.set_nodelay(true)?;
    let server = TcpStream::connect(server).await?;
    server.set_nodelay(true)?;
    let peer = server.local_addr()?;
    let connection = connections.open(peer);
    relay(&connection, caller, server).await;
    connections.close(peer);
    Ok(())
}
