//! Keeps one connection to one peer and sends over it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::answer_receiver::unreachable_peer;
use super::answer_receiver::AnswerEntry;
use super::backoff::Backoff;
use super::connection::Connection;
use super::connection::ConnectionEnd;
use super::control_sender::ping_until_closed;
use super::control_sender::send_control;
use super::forward_sender::send_forward;
use super::generated::peer_capnp::peer;
use super::handshake;
use super::peer_service::PeerService;
use super::ConnectionPurpose;
use super::ForwardRequest;
use super::HandshakeError;
use super::PeerContext;
use super::PeerFault;
use super::PeerMessage;
use crate::catalog::Name;
use crate::errors::GatewayError;

/// The most items that are sent together.
const BATCH_MAX_ITEMS: usize = 32;

/// Whom a worker connects to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum PeerTarget {
    /// A VM of the roster.
    Vm(Name),
    /// Whoever answers at an address.
    Address(SocketAddr),
}

/// A call that is to be forwarded.
#[derive(Debug)]
pub(super) struct ForwardJob {
    pub(super) request: ForwardRequest,
    pub(super) entry: AnswerEntry,
    pub(super) queued_at: Instant,
}

/// Something that a worker sends.
#[derive(Debug)]
pub(super) enum WorkItem {
    Control(PeerMessage),
    Forward(Box<ForwardJob>),
}

/// Keeps one connection to one peer and sends over it; it ends when nothing was sent for long.
pub(super) struct PeerWorker {
    context: Arc<PeerContext>,
    target: PeerTarget,
    purpose: ConnectionPurpose,
    backoff: Backoff,
    open: Option<OpenConnection>,
}

struct OpenConnection {
    address: SocketAddr,
    connection: Connection,
}

impl ForwardJob {
    /// Answers with an error before anything was sent.
    pub(super) fn refuse(self, error: GatewayError) {
        self.entry.refuse(error);
    }
}

impl WorkItem {
    /// Drops the item before anything was sent.
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

    /// Sends what comes until nothing has come for the idle time.
    pub(super) async fn run(mut self, mut items: mpsc::Receiver<WorkItem>) {
        let idle_timeout = self.context.timings.idle_timeout;
        let mut batch = Vec::with_capacity(BATCH_MAX_ITEMS);
        loop {
            let received = items.recv_many(&mut batch, BATCH_MAX_ITEMS);
            match timeout(idle_timeout, received).await {
                Ok(0) => return,
                Ok(_) => self.handle(batch.drain(..)).await,
                // What was queued in the meantime is still sent.
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

    fn send(&self, connection: &Connection, items: impl Iterator<Item = WorkItem>) {
        let mut messages = Vec::new();
        for item in items {
            match item {
                WorkItem::Control(message) => messages.push(message),
                WorkItem::Forward(job) => send_forward(&self.context, connection, *job),
            }
        }
        if !messages.is_empty() {
            send_control(&self.context, connection, &messages);
        }
    }

    /// Returns the open connection, or opens one unless the last attempt has just failed.
    async fn connection(&mut self) -> Result<Connection, HandshakeError> {
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
                log::debug!("no connection to peer {:?}: {error}", self.target);
                Err(error)
            }
        }
    }

    /// Lets calls that run over the open connection end, and uses it for nothing new.
    fn retire(&mut self) {
        if let Some(open) = self.open.take() {
            open.connection.uses.retire();
        }
    }

    async fn dial(&self, address: SocketAddr) -> Result<Connection, HandshakeError> {
        let dialing = async {
            let mut stream = TcpStream::connect(address).await?;
            let context = &self.context;
            let name = handshake::dial(
                &mut stream,
                &context.secret,
                &context.own,
                self.purpose,
                |name| self.is_expected(name),
            );
            let name = name.await?;
            Ok::<_, HandshakeError>((stream, name))
        };
        let dialed = timeout(self.context.timings.connect_timeout, dialing).await;
        let (stream, name) = dialed.unwrap_or_else(|_| Err(timed_out()))?;
        let closed = CancellationToken::new();
        let own = self.own_service(name, &closed);
        let connection = Connection::start(
            stream,
            ConnectionEnd::Dialer,
            self.purpose,
            &self.context.counters,
            own,
            closed,
        )?;
        // Acknowledgements tell of control connections, which cost nothing while they are idle.
        if self.purpose == ConnectionPurpose::Forward {
            spawn_local(ping_until_closed(self.context.clone(), connection.clone()));
        }
        Ok(connection)
    }

    /// Returns what the other side may call on a boot connection.
    fn own_service(&self, from: Name, closed: &CancellationToken) -> Option<peer::Client> {
        if self.purpose != ConnectionPurpose::Boot {
            return None;
        }
        let service = PeerService {
            context: self.context.clone(),
            handler: self.context.handler()?,
            runtime: Handle::current(),
            from,
            end: ConnectionEnd::Dialer,
            closed: closed.clone(),
        };
        Some(capnp_rpc::new_client(service))
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

impl Drop for PeerWorker {
    fn drop(&mut self) {
        self.retire();
    }
}

fn timed_out() -> HandshakeError {
    io::Error::from(io::ErrorKind::TimedOut).into()
}
