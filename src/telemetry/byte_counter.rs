//! Counts bytes on the network by what they are for and by how far they go.

use std::io;
use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::fleet::PeerDistance;

/// What bytes are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ByteKind {
    /// Requests of clients and their answers.
    Clients,
    /// Requests to endpoints and their answers.
    Endpoints,
    /// Requests forwarded to other VMs, their answers, and what VMs fetch from each other.
    Forwards,
    /// Datagrams between VMs.
    Gossip,
    /// Reads of the store.
    Store,
}

impl ByteKind {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Endpoints => "endpoints",
            Self::Forwards => "forwards",
            Self::Gossip => "gossip",
            Self::Store => "store",
        }
    }
}

const fn distance_label(distance: Option<PeerDistance>) -> &'static str {
    match distance {
        Some(PeerDistance::SameZone) => "same_zone",
        Some(PeerDistance::SameRegion) => "other_zone",
        Some(PeerDistance::OtherRegion) => "other_region",
        None => "unknown",
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByteLabels {
    kind: &'static str,
    distance: &'static str,
}

/// The counters of all kinds and distances.
#[derive(Debug, Default)]
pub(super) struct ByteCounters(Family<ByteLabels, Counter>);

impl ByteCounters {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "network_bytes",
            "Bytes by kind and distance; those between VMs count where they are sent or asked for",
            self.0.clone(),
        );
    }

    pub(super) fn get(&self, kind: ByteKind, distance: Option<PeerDistance>) -> ByteCounter {
        let labels = ByteLabels {
            kind: kind.as_str(),
            distance: distance_label(distance),
        };
        ByteCounter(self.0.get_or_create(&labels).clone())
    }
}

/// The counter of one kind and distance; clones share it. The default is in no registry.
#[derive(Clone, Debug, Default)]
pub struct ByteCounter(Counter);

impl ByteCounter {
    /// Counts a number of bytes.
    pub fn add(&self, bytes: usize) {
        self.0.inc_by(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Returns the number of bytes so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// A connection whose bytes are counted in both directions.
#[derive(Debug)]
pub struct CountedStream<S> {
    stream: S,
    bytes: ByteCounter,
}

impl<S> CountedStream<S> {
    /// Wraps a connection.
    pub const fn new(stream: S, bytes: ByteCounter) -> Self {
        Self { stream, bytes }
    }

    /// Returns the connection.
    pub const fn stream(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.bytes.add(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.bytes.add(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bufs))?;
        self.bytes.add(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
