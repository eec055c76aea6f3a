//! Accepts connections on the ports of an entry VM.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Body;
use hyper::body::Incoming;
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
use tokio::task::yield_now;
use tokio::time::sleep;

use super::accepted_connections::AcceptedConnection;
use super::accepted_connections::CloseReason;
use super::answered_body::AnsweredBody;
use super::client_connection::ClientConnection;
use super::handlers;
use super::limited_connection::buffer_bytes;
use super::limited_connection::limits_in_force;
use super::limited_connection::LimitedConnection;
use super::request_progress::RequestProgress;
use super::EdgeBody;
use crate::entry::EntryState;
use crate::telemetry::ByteCounter;
use crate::telemetry::ByteKind;

/// The length of the accept queue; while it is full, SYNs are dropped and a client connects seconds
/// later.
const BACKLOG: i32 = 512;

/// The backoff after `accept` failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The shortest time for the head of a request, whatever the configuration says.
const HEADER_TIMEOUT_MIN: Duration = Duration::from_millis(100);

/// The time beyond the limit for the head of a request: links and a busy event loop delay what clients sent in time.
const HEADER_TIMEOUT_GRACE: Duration = Duration::from_secs(1);

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
                Ok((stream, _)) => self.start(stream, &state, &stage).await,
                Err(error) => {
                    log::warn!(error:% = error; "accepting a connection failed");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves an accepted connection, and closes another one for it if there are too many.
    async fn start(
        &self,
        stream: TcpStream,
        state: &Rc<EntryState>,
        stage: &watch::Receiver<EdgeStage>,
    ) {
        let mut accepted = state.accepted.open(state.now());
        if accepted.is_none() {
            state.on_connections_closed(CloseReason::Descriptors, 1);
            if state.accepted.close_for_new() {
                // Lets the task of the other connection drop it.
                yield_now().await;
                accepted = state.accepted.open(state.now());
            }
        }
        let Some(accepted) = accepted else {
            return;
        };
        let awaited = self
            .role
            .is_awaited()
            .then(|| OpenConnection::new(&state.connection_count));
        let served = serve(
            self.role,
            stream,
            Rc::new(accepted),
            Rc::clone(state),
            stage.clone(),
        );
        spawn_local(async move {
            served.await;
            drop(awaited);
        });
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
    accepted: Rc<AcceptedConnection>,
    state: Rc<EntryState>,
    mut stage: watch::Receiver<EdgeStage>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "setting TCP_NODELAY on an accepted connection failed");
        return;
    }
    let limits = limits_in_force(&state);
    let buffer_max_bytes = buffer_bytes(limits);
    let current_stage = stage.clone();
    let bytes = match role {
        EdgeRole::Peers => ByteCounter::default(),
        _ => state.metrics.bytes(ByteKind::Clients, None),
    };
    let client = ClientConnection::new(stream, bytes);
    let limited = LimitedConnection::new(
        client.clone(),
        Rc::clone(&accepted),
        Rc::clone(&state),
        buffer_max_bytes,
    );
    let service_state = Rc::clone(&state);
    let served = Rc::clone(&accepted);
    let service = service_fn(move |request: Request<Incoming>| {
        served.update(RequestProgress::on_request);
        if !request.body().is_end_stream() {
            served.update(RequestProgress::on_body);
        }
        let state = Rc::clone(&service_state);
        // A buffer can't grow with the limits; a new connection has a larger one.
        let is_draining = *current_stage.borrow() != EdgeStage::Serving
            || buffer_bytes(limits_in_force(&state)) > buffer_max_bytes;
        let handled = handlers::handle(role, state, client.clone(), request, is_draining);
        let served = Rc::clone(&served);
        async move {
            let response = handled.await?;
            let with_end =
                response.map(|body| -> EdgeBody { Box::pin(AnsweredBody::new(body, served)) });
            Ok::<_, Infallible>(with_end)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(buffer_max_bytes)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(limited), service);
    let mut connection = pin!(connection);
    let mut is_closing = false;
    let result = loop {
        tokio::select! {
            // What has arrived is read before it counts as late.
            biased;
            result = connection.as_mut() => break result,
            () = accepted.closing() => return,
            () = head_overdue(&accepted, &state) => {
                state.on_connections_closed(CloseReason::HeadTimeout, 1);
                return;
            }
            _ = stage.wait_for(|stage| *stage == EdgeStage::Closing), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        log::debug!(error:% = error; "an accepted connection failed");
    }
}

/// Completes once the head of a request was not complete in time.
async fn head_overdue(accepted: &AcceptedConnection, state: &EntryState) {
    loop {
        let header_timeout = limits_in_force(state)
            .header_timeout
            .max(HEADER_TIMEOUT_MIN);
        let now = state.now();
        match accepted
            .progress()
            .head_deadline(header_timeout + HEADER_TIMEOUT_GRACE)
        {
            Some(deadline) if deadline <= now => return,
            Some(deadline) => sleep(deadline.since(now)).await,
            None => sleep(header_timeout).await,
        }
    }
}
