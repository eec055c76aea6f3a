//! A buffered TCP socket that counts its bytes.

use std::io;
use std::net::Shutdown;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use capnp::message::ReaderOptions;
use futures::io::AsyncRead;
use futures::io::AsyncWrite;
use futures::io::BufReader;
use futures::io::BufWriter;
use tokio::net::TcpStream;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;
use tokio_util::io::InspectReader;
use tokio_util::io::InspectWriter;

use super::ConnectionPurpose;
use super::PeerCounters;

/// The largest message accepted, in words of 8 bytes.
const MESSAGE_MAX_WORDS: usize = 2 * 1024 * 1024;
const NESTING_MAX_LEVELS: i32 = 32;

/// A buffered TCP socket that counts its bytes.
pub(super) struct CountedSocket {
    pub(super) reader: BoxReader,
    pub(super) writer: BoxWriter,
    pub(super) closer: SocketCloser,
    pub(super) last_read: Arc<LastRead>,
}

pub(super) type BoxReader = Box<dyn AsyncRead + Unpin>;
pub(super) type BoxWriter = Box<dyn AsyncWrite + Unpin>;

/// Closes a socket even while its halves are still in use.
#[derive(Debug)]
pub(super) struct SocketCloser(std::net::TcpStream);

/// When the last byte was received.
#[derive(Debug)]
pub(super) struct LastRead {
    start: Instant,
    at_ms: AtomicU64,
}

impl CountedSocket {
    /// Wraps a stream after its handshake.
    pub(super) fn new(
        stream: TcpStream,
        purpose: ConnectionPurpose,
        counters: &Arc<PeerCounters>,
    ) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        let stream = stream.into_std()?;
        let closer = SocketCloser(stream.try_clone()?);
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
        Ok(Self {
            reader: Box::new(BufReader::new(reader.compat())),
            writer: Box::new(BufWriter::new(writer.compat_write())),
            closer,
            last_read,
        })
    }
}

impl SocketCloser {
    /// Shuts the socket down in both directions.
    pub(super) fn close(&self) {
        // Fails if the socket is already closed.
        let _ = self.0.shutdown(Shutdown::Both);
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

    /// Returns the time since the last byte was received.
    pub(super) fn elapsed(&self) -> Duration {
        let at_ms = self.at_ms.load(Ordering::Relaxed);
        Duration::from_millis(self.now_ms().saturating_sub(at_ms))
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Returns the size and nesting limits of received messages.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_MAX_WORDS));
    options.nesting_limit(NESTING_MAX_LEVELS);
    options
}

fn as_u64(len: usize) -> u64 {
    u64::try_from(len).unwrap_or(u64::MAX)
}
