//! One authenticated connection that carries capnp-rpc.

use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::RpcSystem;
use futures::io::BufReader;
use futures::io::BufWriter;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;
use tokio_util::io::InspectReader;
use tokio_util::io::InspectWriter;
use tokio_util::sync::CancellationToken;

use super::connection_use::ConnectionUse;
use super::generated::peer_capnp::peer;
use super::ConnectionPurpose;
use super::PeerCounters;
use super::PeerFault;

/// The largest message that is read, in words of 8 bytes.
const MESSAGE_MAX_WORDS: usize = 2 * 1024 * 1024;
const NESTING_MAX_LEVELS: i32 = 32;
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// One authenticated connection that carries capnp-rpc; it lives on one thread.
#[derive(Clone)]
pub(super) struct Connection {
    /// The peer's interface.
    pub(super) peer: peer::Client,
    /// Is cancelled when the connection is closed, by either side; cancelling it closes.
    pub(super) closed: CancellationToken,
    last_read: Arc<LastRead>,
    /// The calls that use the connection.
    pub(super) uses: Rc<ConnectionUse>,
}

/// The end of a connection that this VM holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    Dialer,
    Acceptor,
}

/// Runs a connection to its end.
struct Driver {
    socket: std::net::TcpStream,
    closed: CancellationToken,
    counters: Arc<PeerCounters>,
}

#[derive(Debug)]
struct LastRead {
    start: Instant,
    at_ms: AtomicU64,
}

impl Connection {
    /// Starts capnp-rpc on a stream whose handshake is done; cancelling `closed` closes it.
    pub(super) fn start(
        stream: TcpStream,
        end: ConnectionEnd,
        purpose: ConnectionPurpose,
        counters: &Arc<PeerCounters>,
        own: Option<peer::Client>,
        closed: CancellationToken,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let handle = stream.try_clone()?;
        let (reader, writer) = TcpStream::from_std(stream)?.into_split();
        let last_read = Arc::new(LastRead::new());
        let reader = {
            let counters = counters.clone();
            let last_read = last_read.clone();
            InspectReader::new(reader, move |bytes: &[u8]| {
                last_read.touch();
                counters.add_wire_received(purpose, as_u64(bytes.len()));
            })
        };
        let writer = {
            let counters = counters.clone();
            InspectWriter::new(writer, move |bytes: &[u8]| {
                counters.add_wire_sent(purpose, as_u64(bytes.len()));
            })
        };
        let network = VatNetwork::new(
            BufReader::new(reader.compat()),
            BufWriter::new(writer.compat_write()),
            end.side(),
            reader_options(),
        );
        let own = own.map(|client| client.client);
        let mut rpc = RpcSystem::new(Box::new(network), own);
        let peer: peer::Client = rpc.bootstrap(end.other().side());
        let driver = Driver {
            socket: handle,
            closed: closed.clone(),
            counters: counters.clone(),
        };
        spawn_local(driver.run(rpc));
        Ok(Self {
            peer,
            last_read,
            uses: ConnectionUse::new(closed.clone()),
            closed,
        })
    }

    /// Tells whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns the time since the last byte came in.
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

impl LastRead {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            at_ms: AtomicU64::new(0),
        }
    }

    fn touch(&self) {
        self.at_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    fn elapsed(&self) -> Duration {
        let at_ms = self.at_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(at_ms))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Driver {
    async fn run(self, mut rpc: RpcSystem<Side>) {
        tokio::select! {
            result = &mut rpc => {
                if let Err(error) = result {
                    self.note(&error);
                }
            }
            () = self.closed.cancelled() => {
                let _ = self.socket.shutdown(Shutdown::Both);
                let _ = timeout(CLOSE_TIMEOUT, &mut rpc).await;
            }
        }
    }

    fn note(&self, error: &capnp::Error) {
        log::debug!("peer connection ended: {error}");
        if error.kind != capnp::ErrorKind::Disconnected {
            self.counters.add_fault(PeerFault::Malformed);
        }
    }
}

impl Drop for Driver {
    /// Closes the socket even if capnp-rpc holds on to it, or has panicked.
    fn drop(&mut self) {
        let _ = self.socket.shutdown(Shutdown::Both);
        self.closed.cancel();
    }
}

fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    options.nesting_limit(NESTING_MAX_LEVELS);
    options
}

fn as_u64(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}
