//! A proxy before an endpoint stand-in whose open connections can go silent for good.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A proxy before an endpoint.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    freezes: Arc<watch::Sender<u32>>,
    task: JoinHandle<()>,
}

impl LinkProxy {
    /// Starts a proxy before the endpoint at `endpoint`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr, endpoint: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let freezes = Arc::new(watch::channel(0).0);
        let accepted = Arc::clone(&freezes);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, endpoint, accepted.subscribe()));
            }
        });
        Ok(Self {
            address,
            freezes,
            task,
        })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Passes nothing on any more on the open connections, and leaves them open.
    pub fn freeze_open(&self) {
        self.freezes.send_modify(|count| *count += 1);
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(mut stream: TcpStream, endpoint: SocketAddr, mut freezes: watch::Receiver<u32>) {
    let Ok(mut upstream) = TcpStream::connect(endpoint).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut upstream) => {}
        _ = freezes.changed() => std::future::pending().await,
    }
}
