//! Maintains one connection to one peer and sends over it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::answer_receiver::unreachable_peer;
use super::answer_receiver::PendingAnswer;
use super::backoff::Backoff;
use super::connection::Connection;
use super::connection::ConnectionEnd;
use super::control_connection::ControlConnection;
use super::control_receiver::ControlReceiver;
use super::forward_sender::send_forward;
use super::handshake;
use super::pings::ping_until_closed;
use super::ConnectionPurpose;
use super::ForwardRequest;
use super::HandshakeError;
use super::PeerContext;
use super::PeerFault;
use super::PeerMessage;
use crate::catalog::Name;
use crate::errors::GatewayError;

/// The most items that are taken from the queue at a time.
const BATCH_MAX_ITEMS: usize = 32;

/// The peer that a worker connects to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PeerTarget {
    /// A VM of the roster.
    Vm(Name),
    /// Any VM that accepts connections at an address.
    Address(SocketAddr),
}

/// A call to forward.
#[derive(Debug)]
pub(super) struct ForwardJob {
    pub(super) request: ForwardRequest,
    pub(super) pending: PendingAnswer,
    pub(super) queued_at: Instant,
}

/// An item that a worker sends.
#[derive(Debug)]
pub(super) enum WorkItem {
    Control(PeerMessage),
    Forward(Box<ForwardJob>),
}

/// Maintains one connection to one peer and sends over it; it stops after the idle timeout.
pub(super) struct PeerWorker {
    context: Arc<PeerContext>,
    target: PeerTarget,
    purpose: ConnectionPurpose,
    backoff: Backoff,
    open: Option<OpenConnection>,
}

struct OpenConnection {
    address: SocketAddr,
    connection: DialedConnection,
}

#[derive(Clone)]
enum DialedConnection {
    Control(ControlConnection),
    Forward(Connection),
}

impl ForwardJob {
    /// Ends the answer with an error; the call is not sent.
    pub(super) fn refuse(self, error: GatewayError) {
        self.pending.refuse(error);
    }
}

impl WorkItem {
    /// Drops the item without sending it.
    pub(super) fn refuse(self, context: &PeerContext, reason: &str) {
        match self {
            Self::Control(_) => context.counters.add_fault(PeerFault::Dropped),
            Self::Forward(job) => {
                let request_id = job.request.call.id;
                job.refuse(unreachable_peer(request_id, reason));
            }
        }
    }
}

impl PeerWorker {
    pub(super) fn new(
        context: Arc<PeerContext>,
        target: PeerTarget,
        purpose: ConnectionPurpose,
    ) -> Self {
        let timings = context.timings;
        Self {
            context,
            target,
            purpose,
            backoff: Backoff::new(timings.backoff_min, timings.backoff_max),
            open: None,
        }
    }

    /// Sends queued items until none arrives for the idle timeout.
    pub(super) async fn run(mut self, mut items: mpsc::Receiver<WorkItem>) {
        let idle_timeout = self.context.timings.idle_timeout;
        let mut batch = Vec::with_capacity(BATCH_MAX_ITEMS);
        loop {
            let received = items.recv_many(&mut batch, BATCH_MAX_ITEMS);
            match timeout(idle_timeout, received).await {
                Ok(0) => return,
                Ok(_) => self.handle(batch.drain(..)).await,
                // Items queued in the meantime are still sent.
                Err(_) => items.close(),
            }
        }
    }

    async fn handle(&mut self, items: impl Iterator<Item = WorkItem>) {
        match self.connection().await {
            Ok(connection) => self.send(&connection, items),
            Err(error) => {
                let reason = format!("no connection to the VM: {error}");
                for item in items {
                    item.refuse(&self.context, &reason);
                }
            }
        }
    }

    fn send(&self, connection: &DialedConnection, items: impl Iterator<Item = WorkItem>) {
        for item in items {
            match (connection, item) {
                (DialedConnection::Control(connection), WorkItem::Control(message)) => {
                    if !connection.send(message) {
                        self.context.counters.add_fault(PeerFault::Dropped);
                    }
                }
                (DialedConnection::Forward(connection), WorkItem::Forward(job)) => {
                    send_forward(&self.context, connection, *job);
                }
                (_, item) => item.refuse(&self.context, "the connection has another purpose"),
            }
        }
    }

    /// Returns the open connection, or opens one unless the backoff is still running.
    async fn connection(&mut self) -> Result<DialedConnection, HandshakeError> {
        let address = self.address()?;
        if let Some(open) = &self.open {
            if open.address == address && !open.connection.is_closed() {
                return Ok(open.connection.clone());
            }
        }
        self.retire();
        if self.backoff.is_waiting(Instant::now()) {
            return Err(io::Error::from(io::ErrorKind::NotConnected).into());
        }
        match self.dial(address).await {
            Ok(connection) => {
                self.backoff.reset();
                self.open = Some(OpenConnection {
                    address,
                    connection: connection.clone(),
                });
                Ok(connection)
            }
            Err(error) => {
                self.backoff.fail(Instant::now());
                log::debug!("connecting to peer {:?} failed: {error}", self.target);
                Err(error)
            }
        }
    }

    /// Retires the open connection: running calls may complete, new ones use another connection.
    fn retire(&mut self) {
        if let Some(open) = self.open.take() {
            open.connection.retire();
        }
    }

    async fn dial(&self, address: SocketAddr) -> Result<DialedConnection, HandshakeError> {
        let dialing = async {
            let mut stream = TcpStream::connect(address).await?;
            let context = &self.context;
            let name = handshake::dial(
                &mut stream,
                &context.secret,
                &context.local_name,
                self.purpose,
                |name| self.is_expected(name),
            );
            let name = name.await?;
            Ok::<_, HandshakeError>((stream, name))
        };
        let dialed = timeout(self.context.timings.connect_timeout, dialing).await;
        let (stream, name) = dialed.unwrap_or_else(|_| Err(timed_out()))?;
        match self.purpose {
            ConnectionPurpose::Forward => self.start_forward(stream),
            ConnectionPurpose::Control | ConnectionPurpose::Boot => {
                self.start_control(stream, name)
            }
        }
    }

    fn start_forward(&self, stream: TcpStream) -> Result<DialedConnection, HandshakeError> {
        let connection = Connection::start(
            stream,
            ConnectionEnd::Dialer,
            self.purpose,
            &self.context.counters,
            None,
            CancellationToken::new(),
        )?;
        spawn_local(ping_until_closed(self.context.clone(), connection.clone()));
        Ok(DialedConnection::Forward(connection))
    }

    /// Messages received on a boot connection go to the handler; on others none are expected.
    fn start_control(
        &self,
        stream: TcpStream,
        from: Name,
    ) -> Result<DialedConnection, HandshakeError> {
        let handler = match self.purpose {
            ConnectionPurpose::Boot => self.context.handler(),
            ConnectionPurpose::Control | ConnectionPurpose::Forward => None,
        };
        let receiver = handler.map(|handler| ControlReceiver {
            context: self.context.clone(),
            handler,
            from,
            end: ConnectionEnd::Dialer,
        });
        let context = self.context.clone();
        let connection = ControlConnection::start(stream, self.purpose, context, receiver, None)?;
        Ok(DialedConnection::Control(connection))
    }

    fn address(&self) -> io::Result<SocketAddr> {
        match &self.target {
            PeerTarget::Address(address) => Ok(*address),
            PeerTarget::Vm(name) => {
                let catalog = self.context.catalog.load();
                let vm = catalog.vm_named(name).and_then(|key| catalog.vms.get(key));
                vm.map(|vm| vm.peer_address)
                    .ok_or_else(|| io::ErrorKind::NotFound.into())
            }
        }
    }

    fn is_expected(&self, name: &Name) -> bool {
        match &self.target {
            PeerTarget::Vm(expected) => name == expected,
            PeerTarget::Address(_) => true,
        }
    }
}

impl DialedConnection {
    fn is_closed(&self) -> bool {
        match self {
            Self::Control(connection) => connection.is_closed(),
            Self::Forward(connection) => connection.is_closed(),
        }
    }

    /// Closes the connection, one for forwarded calls only after its last call.
    fn retire(&self) {
        match self {
            Self::Control(connection) => connection.closed.cancel(),
            Self::Forward(connection) => connection.uses.retire(),
        }
    }
}

impl Drop for PeerWorker {
    fn drop(&mut self) {
        self.retire();
    }
}

fn timed_out() -> HandshakeError {
    io::Error::from(io::ErrorKind::TimedOut).into()
}
