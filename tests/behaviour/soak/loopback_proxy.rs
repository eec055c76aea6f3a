//! A loopback proxy that injects network faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The interval at which connections check the link state again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How the proxy handles the bytes of all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkState {
    /// Forwards all bytes.
    Open,
    /// Forwards each chunk after a delay.
    Delayed(Duration),
    /// Holds back the bytes to the server.
    HeldToServer,
    /// Holds back the bytes from the server.
    HeldFromServer,
    /// Holds back the bytes in both directions.
    Silent,
    /// Resets connections.
    Reset,
}

/// A proxy in front of one server.
pub(super) struct LoopbackProxy {
    address: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    task: JoinHandle<()>,
}

impl LoopbackProxy {
    pub(super) async fn launch(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(LinkState::Open));
        let shared = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(relay(client, server, Arc::clone(&shared)));
            }
        });
        Self {
            address,
            state,
            task,
        }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn set(&self, state: LinkState) {
        *self.state.lock() = state;
    }
}

impl Drop for LoopbackProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn relay(mut client: TcpStream, server: SocketAddr, state: Arc<Mutex<LinkState>>) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        return;
    };
    {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        tokio::select! {
            () = copy(from_client, to_server, &state, LinkState::HeldToServer) => return,
            () = copy(from_server, to_client, &state, LinkState::HeldFromServer) => return,
            () = until_reset(&state) => {}
        }
    }
    for stream in [&client, &server] {
        SockRef::from(stream)
            .set_linger(Some(Duration::ZERO))
            .expect("the option is known");
    }
}

async fn until_reset(state: &Mutex<LinkState>) {
    while *state.lock() != LinkState::Reset {
        sleep(POLL_INTERVAL).await;
    }
}

async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    state: &Mutex<LinkState>,
    held: LinkState,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(length) if length > 0 => length,
            _ => return,
        };
        loop {
            let now = *state.lock();
            match now {
                LinkState::Silent => sleep(POLL_INTERVAL).await,
                LinkState::Delayed(pause) => {
                    sleep(pause).await;
                    break;
                }
                now if now == held => sleep(POLL_INTERVAL).await,
                _ => break,
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
