//! Accepts connections on the ports of an entry VM.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::client_connection::ClientConnection;
use super::handlers;
use crate::entry::EntryState;
use crate::telemetry::ByteCounter;
use crate::telemetry::ByteKind;

/// The length of the accept queue; while it is full, SYNs are dropped and a client connects seconds
/// later.
const BACKLOG: i32 = 512;

/// Descriptors reserved for other uses than clients' sockets: files, listeners, connections to
/// endpoints and other VMs.
const DESCRIPTORS_RESERVED: u64 = 900;

/// The backoff after `accept` failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The purpose of a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EdgeRole {
    /// Requests of clients.
    Clients,
    /// Directory queries of clients.
    Directory,
    /// Forwarded requests and fetches of other VMs.
    Peers,
    /// Readiness checks.
    Readiness,
    /// Scrapes of the metrics.
    Metrics,
}

impl EdgeRole {
    /// Returns whether a shutdown waits until the connections of the port are closed.
    const fn is_awaited(self) -> bool {
        matches!(self, Self::Clients | Self::Peers)
    }
}

/// The stages of a shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EdgeStage {
    /// No shutdown has been requested.
    Serving,
    /// The VM closes each connection after its next answer.
    Draining,
    /// The VM closes idle connections and accepts no new ones from clients.
    Closing,
}

/// A bound port and its purpose.
pub struct EdgeListener {
    role: EdgeRole,
    listener: TcpListener,
}

impl EdgeListener {
    /// Binds a port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(role: EdgeRole, address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { role, listener })
    }

    /// Accepts connections until the stage is [`EdgeStage::Closing`]; ports that are not for
    /// clients, until the process exits.
    pub async fn run(self, state: Rc<EntryState>, stage: watch::Receiver<EdgeStage>) {
        let open_count = Rc::new(Cell::new(0_u64));
        let open_max = state
            .settings
            .descriptors_max
            .saturating_sub(DESCRIPTORS_RESERVED)
            .max(1);
        let mut closing = stage.clone();
        let stays_open = matches!(
            self.role,
            EdgeRole::Readiness | EdgeRole::Peers | EdgeRole::Metrics
        );
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing.wait_for(|stage| *stage == EdgeStage::Closing), if !stays_open => return,
            };
            match accepted {
                Ok((stream, _)) if open_count.get() < open_max => {
                    let open = OpenConnection::new(&open_count);
                    let awaited = self
                        .role
                        .is_awaited()
                        .then(|| OpenConnection::new(&state.connection_count));
                    let served = serve(self.role, stream, Rc::clone(&state), stage.clone());
                    spawn_local(async move {
                        served.await;
                        drop((open, awaited));
                    });
                }
                Ok(_) => log::warn!(
                    open = open_count.get();
                    "connection dropped: limit on open connections reached"
                ),
                Err(error) => {
                    log::warn!(error:% = error; "accepting a connection failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

struct OpenConnection(Rc<Cell<u64>>);

impl OpenConnection {
    fn new(count: &Rc<Cell<u64>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

async fn serve(
    role: EdgeRole,
    stream: TcpStream,
    state: Rc<EntryState>,
    mut stage: watch::Receiver<EdgeStage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting TCP_NODELAY on an accepted connection failed");
        return;
    }
    let limits = state
        .belief
        .borrow()
        .deployment()
        .map(|deployment| deployment.limits())
        .unwrap_or_default();
    let current_stage = stage.clone();
    let bytes = match role {
        EdgeRole::Peers => ByteCounter::default(),
        _ => state.metrics.bytes(ByteKind::Clients, None),
    };
    let client = ClientConnection::new(stream, bytes);
    let io = TokioIo::new(client.clone());
    let service = service_fn(move |request| {
        let state = Rc::clone(&state);
        let is_draining = *current_stage.borrow() != EdgeStage::Serving;
        handlers::handle(role, state, client.clone(), request, is_draining)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .auto_date_header(false)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stage.wait_for(|stage| *stage == EdgeStage::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "an accepted connection failed");
    }
}
