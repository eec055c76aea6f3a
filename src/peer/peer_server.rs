//! Accepts connections from other VMs.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdTcpListener;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use super::connection::Connection;
use super::connection::ConnectionEnd;
use super::control_connection::ControlConnection;
use super::control_receiver::ControlReceiver;
use super::handshake;
use super::handshake::Dialer;
use super::peer_service::PeerService;
use super::peer_thread::spawn_local_thread;
use super::ConnectionPurpose;
use super::HandshakeError;
use super::PeerContext;
use super::PeerFault;
use super::PeerHandler;
use crate::peer::generated::peer_capnp::peer;

/// The most handshakes in progress; further connections are closed.
const HANDSHAKES_MAX: usize = 64;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections from other VMs until it is shut down or dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    shutdown: CancellationToken,
    _guard: DropGuard,
}

/// The state that the tasks of a server share.
#[derive(Clone)]
struct Acceptor {
    context: Arc<PeerContext>,
    handler: Arc<dyn PeerHandler>,
    runtime: Handle,
    handshakes: Arc<Semaphore>,
}

impl PeerServer {
    /// Binds `address` and starts to accept connections, on a dedicated thread.
    ///
    /// Forwarded calls run on the current tokio runtime. The handler also gets the messages that
    /// arrive on the boot connections of the link of the same context.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn launch(
        address: SocketAddr,
        context: Arc<PeerContext>,
        handler: Arc<dyn PeerHandler>,
    ) -> io::Result<Self> {
        let listener = StdTcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        context.set_handler(&handler);
        let acceptor = Acceptor {
            context,
            handler,
            runtime: Handle::current(),
            handshakes: Arc::new(Semaphore::new(HANDSHAKES_MAX)),
        };
        let shutdown = CancellationToken::new();
        let stop = shutdown.clone();
        spawn_local_thread("peer-server", move || async move {
            tokio::select! {
                () = accept_all(listener, acceptor) => {}
                () = stop.cancelled() => {}
            }
        })?;
        Ok(Self {
            address,
            _guard: shutdown.clone().drop_guard(),
            shutdown,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and cancels running forwarded calls.
    pub fn shutdown(&self) {
        self.shutdown.cancel();
    }
}

async fn accept_all(listener: StdTcpListener, acceptor: Acceptor) {
    let listener = match TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("the listener for peer connections could not be started: {error}");
            return;
        }
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => acceptor.start_handshake(stream),
            Err(error) => {
                log::warn!("a peer connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

impl Acceptor {
    fn start_handshake(&self, stream: TcpStream) {
        let Ok(permit) = self.handshakes.clone().try_acquire_owned() else {
            self.context.counters.add_fault(PeerFault::Handshake);
            return;
        };
        spawn_local(self.clone().serve(stream, permit));
    }

    async fn serve(self, mut stream: TcpStream, permit: OwnedSemaphorePermit) {
        let dialer = match self.authenticate(&mut stream).await {
            Ok(dialer) => dialer,
            Err(error) => {
                self.context.counters.add_fault(PeerFault::Handshake);
                log::warn!("a peer handshake failed: {error}");
                return;
            }
        };
        drop(permit);
        if let Err(error) = self.run(stream, dialer).await {
            log::debug!("a peer connection failed: {error}");
        }
    }

    async fn authenticate(&self, stream: &mut TcpStream) -> Result<Dialer, HandshakeError> {
        let context = &self.context;
        let handshaking = handshake::accept(stream, &context.secret, &context.local_name, |name| {
            context.is_known(name)
        });
        timeout(context.timings.connect_timeout, handshaking)
            .await
            .unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
    }

    async fn run(&self, stream: TcpStream, dialer: Dialer) -> io::Result<()> {
        match dialer.purpose {
            ConnectionPurpose::Forward => self.run_forward(stream, dialer).await,
            ConnectionPurpose::Control | ConnectionPurpose::Boot => {
                self.run_control(stream, dialer)
            }
        }
    }

    async fn run_forward(&self, stream: TcpStream, dialer: Dialer) -> io::Result<()> {
        let closed = CancellationToken::new();
        let service = PeerService {
            context: self.context.clone(),
            handler: self.handler.clone(),
            runtime: self.runtime.clone(),
            from: dialer.name,
            closed: closed.clone(),
        };
        let connection = Connection::start(
            stream,
            ConnectionEnd::Acceptor,
            dialer.purpose,
            &self.context.counters,
            Some(capnp_rpc::new_client::<peer::Client, _>(service)),
            closed,
        )?;
        self.close_when_silent(&connection).await;
        Ok(())
    }

    fn run_control(&self, stream: TcpStream, dialer: Dialer) -> io::Result<()> {
        let timings = self.context.timings;
        let receiver = ControlReceiver {
            context: self.context.clone(),
            handler: self.handler.clone(),
            from: dialer.name.clone(),
            end: ConnectionEnd::Acceptor,
        };
        // Longer than the idle timeout, so that the dialer closes idle connections first.
        let silence_timeout = timings.accepted_silence_timeout + timings.idle_timeout;
        let connection = ControlConnection::start(
            stream,
            dialer.purpose,
            self.context.clone(),
            Some(receiver),
            Some(silence_timeout),
        )?;
        if dialer.purpose == ConnectionPurpose::Boot {
            self.context
                .add_reply_path(dialer.name, connection.outgoing);
        } else {
            // Nothing is sent on this connection except acknowledgements.
            spawn_local(hold_until_closed(connection));
        }
        Ok(())
    }

    /// Closes the connection when no byte is received for `accepted_silence_timeout`.
    async fn close_when_silent(&self, connection: &Connection) {
        let limit = self.context.timings.accepted_silence_timeout;
        while !connection.is_closed() {
            let silence = connection.silence();
            let Some(left) = limit.checked_sub(silence).filter(|left| !left.is_zero()) else {
                self.context.counters.add_fault(PeerFault::Silent);
                connection.closed.cancel();
                return;
            };
            tokio::select! {
                () = sleep(left) => {}
                () = connection.closed.cancelled() => {}
            }
        }
    }
}

async fn hold_until_closed(connection: ControlConnection) {
    connection.closed.cancelled().await;
}
