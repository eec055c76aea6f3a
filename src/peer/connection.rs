//! One authenticated connection for capnp-rpc.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::connection_use::ConnectionUse;
use super::counted_socket::reader_options;
use super::counted_socket::CountedSocket;
use super::counted_socket::LastRead;
use super::counted_socket::SocketCloser;
use super::generated::peer_capnp::peer;
use super::ConnectionPurpose;
use super::PeerCounters;
use super::PeerFault;

const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// One authenticated connection for capnp-rpc; bound to one thread.
#[derive(Clone)]
pub(super) struct Connection {
    /// The RPC interface of the peer.
    pub(super) peer: peer::Client,
    /// Is cancelled when either side closes the connection; cancelling it closes the connection.
    pub(super) closed: CancellationToken,
    last_read: Arc<LastRead>,
    /// The calls that use the connection.
    pub(super) uses: Rc<ConnectionUse>,
}

/// Which end of a connection this VM is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    Dialer,
    Acceptor,
}

/// The task that runs the RPC system of a connection until it is closed.
struct RpcTask {
    closer: SocketCloser,
    closed: CancellationToken,
    counters: Arc<PeerCounters>,
}

impl Connection {
    /// Starts capnp-rpc on a stream after its handshake; cancelling `closed` closes it.
    ///
    /// `bootstrap` is the interface that this VM offers to the peer.
    pub(super) fn start(
        stream: TcpStream,
        end: ConnectionEnd,
        purpose: ConnectionPurpose,
        counters: &Arc<PeerCounters>,
        bootstrap: Option<peer::Client>,
        closed: CancellationToken,
    ) -> io::Result<Self> {
        let socket = CountedSocket::new(stream, purpose, counters)?;
        let network = VatNetwork::new(socket.reader, socket.writer, end.side(), reader_options());
        let bootstrap = bootstrap.map(|client| client.client);
        let mut rpc = RpcSystem::new(Box::new(network), bootstrap);
        let peer: peer::Client = rpc.bootstrap(end.other().side());
        let rpc_task = RpcTask {
            closer: socket.closer,
            closed: closed.clone(),
            counters: counters.clone(),
        };
        spawn_local(rpc_task.run(rpc));
        Ok(Self {
            peer,
            last_read: socket.last_read,
            uses: ConnectionUse::new(closed.clone()),
            closed,
        })
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns the time since the last byte was received.
    pub(super) fn silence(&self) -> Duration {
        self.last_read.elapsed()
    }
}

impl ConnectionEnd {
    const fn side(self) -> Side {
        match self {
            Self::Dialer => Side::Client,
            Self::Acceptor => Side::Server,
        }
    }

    const fn other(self) -> Self {
        match self {
            Self::Dialer => Self::Acceptor,
            Self::Acceptor => Self::Dialer,
        }
    }
}

impl RpcTask {
    async fn run(self, mut rpc: RpcSystem<Side>) {
        tokio::select! {
            result = &mut rpc => {
                if let Err(error) = result {
                    self.on_error(&error);
                }
            }
            () = self.closed.cancelled() => {
                self.closer.close();
                let _ = timeout(CLOSE_TIMEOUT, &mut rpc).await;
            }
        }
    }

    fn on_error(&self, error: &capnp::Error) {
        log::debug!("peer connection ended: {error}");
        if error.kind != capnp::ErrorKind::Disconnected {
            self.counters.add_fault(PeerFault::Malformed);
        }
    }
}

impl Drop for RpcTask {
    /// Closes the socket even if capnp-rpc still holds the connection or has panicked.
    fn drop(&mut self) {
        self.closer.close();
        self.closed.cancel();
    }
}
