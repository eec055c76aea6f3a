//! The listener that callers connect to.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::caller_connections::CallerConnections;
use super::connection_relay::relay;
use super::CallerLimits;

const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(15);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEPALIVE_RETRIES: u32 = 3;
/// The value of `TCP_USER_TIMEOUT`: the longest time that sent bytes stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts callers' connections and relays them to the HTTP server.
#[derive(Debug)]
pub(super) struct CallerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    relay_tasks: TaskTracker,
}

/// Accepts connections and starts a relay for each.
#[derive(Clone, Debug)]
struct ConnectionAcceptor {
    server: SocketAddr,
    connections: Arc<CallerConnections>,
    limits: CallerLimits,
    relay_tasks: TaskTracker,
}

impl CallerListener {
    /// Starts to listen on `bind_address` and to relay to the HTTP server at `server`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if it can't listen on the address.
    pub(super) async fn start(
        bind_address: SocketAddr,
        server: SocketAddr,
        connections: Arc<CallerConnections>,
        limits: CallerLimits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(bind_address).await?;
        let address = listener.local_addr()?;
        let relay_tasks = TaskTracker::new();
        let acceptor = ConnectionAcceptor {
            server,
            connections,
            limits,
            relay_tasks: relay_tasks.clone(),
        };
        Ok(Self {
            address,
            accepting: tokio::spawn(acceptor.accept(listener)),
            relay_tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections; open ones stay.
    pub(super) fn stop_accepting(&self) {
        self.accepting.abort();
        self.relay_tasks.close();
    }

    /// Completes once all connections are closed.
    pub(super) async fn closed(&self) {
        self.relay_tasks.wait().await;
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl ConnectionAcceptor {
    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((caller, _)) => {
                    let acceptor = self.clone();
                    self.relay_tasks
                        .spawn(async move { acceptor.serve(caller).await });
                }
                Err(error) => {
                    log::warn!("could not accept a caller's connection, retrying: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, caller: TcpStream) {
        if let Err(error) = self.try_serve(caller).await {
            log::warn!("closed a caller's connection that could not be relayed: {error}");
        }
    }

    async fn try_serve(&self, caller: TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        enable_keepalive(&caller)?;
        let server = TcpStream::connect(self.server).await?;
        server.set_nodelay(true)?;
        let relay_address = server.local_addr()?;
        let connection = self.connections.open(relay_address);
        relay(&connection, caller, server, self.limits).await;
        self.connections.close(relay_address);
        Ok(())
    }
}

/// Lets the operating system close the connection when the other end no longer acknowledges.
fn enable_keepalive(socket: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
