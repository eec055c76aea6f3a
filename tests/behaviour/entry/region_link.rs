//! A link with a delay between the daemons of two regions.
//!
//! A daemon takes all others to use its own port range. The two daemons are given different ranges, and
//! the link listens where each of them looks for the other.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;

use super::support::PeerPorts;

const DATAGRAM_MAX_BYTES: usize = 65_507;

/// A daemon's address and ports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinkEnd {
    pub(crate) ip: Ipv4Addr,
    pub(crate) ports: PeerPorts,
}

impl LinkEnd {
    /// Returns the addresses at which it receives datagrams.
    fn datagram_addresses(self) -> [SocketAddr; 2] {
        [self.ports.first, self.ports.first + 1].map(|port| SocketAddr::from((self.ip, port)))
    }

    fn control_address(self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.control))
    }

    /// Returns the end as a daemon with other ports takes it to be.
    const fn seen_from(self, other: Self) -> Self {
        Self {
            ip: self.ip,
            ports: other.ports,
        }
    }
}

/// The link; dropping it cuts it.
pub(crate) struct RegionLink {
    _tasks: JoinSet<()>,
}

impl RegionLink {
    /// Links two daemons, with this delay each way.
    pub(crate) async fn launch(ends: [LinkEnd; 2], delay: Duration) -> Self {
        let mut tasks = JoinSet::new();
        for [from, to] in [ends, [ends[1], ends[0]]] {
            let seen = to.seen_from(from);
            let addresses = seen.datagram_addresses().into_iter();
            for (seen, to) in addresses.zip(to.datagram_addresses()) {
                let inlet = UdpSocket::bind(seen).await.expect("a port");
                let outlet = UdpSocket::bind((from.ip, 0)).await.expect("a port");
                tasks.spawn(pass_datagrams(inlet, Arc::new(outlet), to, delay));
            }
            let listener = TcpListener::bind(seen.control_address()).await;
            let listener = listener.expect("a port");
            tasks.spawn(pass_streams(listener, to.control_address(), delay));
        }
        Self { _tasks: tasks }
    }
}

async fn pass_datagrams(inlet: UdpSocket, outlet: Arc<UdpSocket>, to: SocketAddr, delay: Duration) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    while let Ok((length, _)) = inlet.recv_from(&mut buffer).await {
        let (datagram, outlet) = (buffer[..length].to_vec(), Arc::clone(&outlet));
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = outlet.send_to(&datagram, to).await;
        });
    }
}

async fn pass_streams(listener: TcpListener, to: SocketAddr, delay: Duration) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        connections.spawn(async move {
            sleep(delay).await;
            let Ok(far) = TcpStream::connect(to).await else {
                return;
            };
            let (from_near, to_near) = near.into_split();
            let (from_far, to_far) = far.into_split();
            // The end of one direction closes both.
            tokio::select! {
                () = pass_bytes(from_near, to_far, delay) => {}
                () = pass_bytes(from_far, to_near, delay) => {}
            }
        });
    }
}

/// Passes bytes on until the connection that they come from was closed, the delay included.
async fn pass_bytes(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, delay: Duration) {
    let (sender, mut chunks) = mpsc::unbounded_channel();
    let read = async move {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let length = from.read(&mut buffer).await.unwrap_or(0);
            let chunk = (Instant::now() + delay, buffer[..length].to_vec());
            if sender.send(chunk).is_err() || length == 0 {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, chunk)) = chunks.recv().await {
            sleep_until(at).await;
            if chunk.is_empty() || to.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(read, write);
}
