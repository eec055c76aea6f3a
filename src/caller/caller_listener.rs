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
/// The longest time that sent bytes stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts callers' connections and relays them to the HTTP server.
#[derive(Debug)]
pub(super) struct CallerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
    open: TaskTracker,
}

/// What the relays of all connections share.
#[derive(Clone, Debug)]
struct Relays {
    server: SocketAddr,
    connections: Arc<CallerConnections>,
    limits: CallerLimits,
    open: TaskTracker,
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
        limits: CallerLimits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(bind_address).await?;
        let address = listener.local_addr()?;
        let open = TaskTracker::new();
        let relays = Relays {
            server,
            connections,
            limits,
            open: open.clone(),
        };
        Ok(Self {
            address,
            accepting: tokio::spawn(relays.accept(listener)),
            open,
        })
    }

    /// Returns the address that callers connect to.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts no more connections.
    pub(super) fn stop_accepting(&self) {
        self.accepting.abort();
        self.open.close();
    }

    /// Completes once no connection is left.
    pub(super) async fn closed(&self) {
        self.open.wait().await;
    }
}

impl Drop for CallerListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Relays {
    async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((caller, _)) => {
                    let relays = self.clone();
                    self.open.spawn(async move { relays.serve(caller).await });
                }
                Err(error) => {
                    log::warn!("a caller's connection was not accepted: {error}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(&self, caller: TcpStream) {
        if let Err(error) = self.try_serve(caller).await {
            log::warn!("a caller's connection was not relayed: {error}");
        }
    }

    async fn try_serve(&self, caller: TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        notice_vanished_peer(&caller)?;
        let server = TcpStream::connect(self.server).await?;
        server.set_nodelay(true)?;
        let peer = server.local_addr()?;
        let connection = self.connections.open(peer);
        relay(&connection, caller, server, self.limits).await;
        self.connections.close(peer);
        Ok(())
    }
}

/// Has the operating system close the connection when its other end no longer acknowledges.
fn notice_vanished_peer(socket: &TcpStream) -> io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(socket);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
