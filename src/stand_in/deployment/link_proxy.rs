//! A proxy before an endpoint stand-in, whose link can fail.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The time between two checks whether a port is closed.
const CLOSE_POLL: Duration = Duration::from_millis(2);

/// The state of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Up,
    /// Connections stay open and pass nothing, also later.
    Hung,
    /// All connections are reset.
    Reset,
    /// Open connections live on, new ones are reset.
    NewReset,
}

/// A proxy before an endpoint.
#[derive(Debug)]
pub struct LinkProxy {
    address: SocketAddr,
    freezes: Arc<watch::Sender<u32>>,
    link: Arc<watch::Sender<LinkState>>,
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
        let link = Arc::new(watch::channel(LinkState::Up).0);
        let (accepted_freezes, accepted_link) = (Arc::clone(&freezes), Arc::clone(&link));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relayed = Relay {
                    endpoint,
                    freezes: accepted_freezes.subscribe(),
                    link: accepted_link.subscribe(),
                };
                tokio::spawn(relayed.run(stream));
            }
        });
        Ok(Self {
            address,
            freezes,
            link,
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

    /// Sets the state of the link.
    pub fn set_link(&self, state: LinkState) {
        self.link.send_replace(state);
    }

    /// Closes the port; connections to it are refused from then on.
    pub async fn close(&mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
        // A process that is being started holds the port until it runs another program.
        while TcpStream::connect(self.address).await.is_ok() {
            sleep(CLOSE_POLL).await;
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.freezes.receiver_count()
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One connection through the proxy.
struct Relay {
    endpoint: SocketAddr,
    freezes: watch::Receiver<u32>,
    link: watch::Receiver<LinkState>,
}

impl Relay {
    async fn run(mut self, mut stream: TcpStream) {
        let state = *self.link.borrow_and_update();
        if matches!(state, LinkState::Reset | LinkState::NewReset) {
            return reset(&stream);
        }
        let _ = self.link.wait_for(|state| *state != LinkState::Hung).await;
        let Ok(mut upstream) = TcpStream::connect(self.endpoint).await else {
            return;
        };
        let mut link = self.link.clone();
        let down = async {
            let is_down = |state: &LinkState| matches!(state, LinkState::Hung | LinkState::Reset);
            let _ = link.wait_for(is_down).await;
        };
        tokio::select! {
            _ = copy_bidirectional(&mut stream, &mut upstream) => return,
            _ = self.freezes.changed() => std::future::pending().await,
            () = down => {}
        }
        // A connection that hung is never used again.
        let _ = self.link.wait_for(|state| *state == LinkState::Reset).await;
        reset(&stream);
    }
}

/// Lets the connection be reset when it is closed.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!(error:% = error; "a connection is closed in place of being reset");
    }
}
