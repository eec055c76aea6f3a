//! A loopback proxy that injects network faults into the connections through it.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// The interval at which connections check the link state again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The time within which the port of a closed listener is free.
const BIND_MAX: Duration = Duration::from_secs(1);

/// The number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

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
    server: SocketAddr,
    state: Arc<Mutex<LinkState>>,
    task: Mutex<JoinHandle<()>>,
    /// Keeps the port while the proxy does not listen, so that nothing else binds it.
    bound: Mutex<Option<TcpSocket>>,
}

impl LoopbackProxy {
    pub(super) async fn launch(server: SocketAddr) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(LinkState::Open));
        let task = tokio::spawn(accept(listener, server, Arc::clone(&state)));
        Self {
            address,
            server,
            state,
            task: Mutex::new(task),
            bound: Mutex::default(),
        }
    }

    /// Refuses new connections, as if no process listened.
    pub(super) async fn stop_listening(&self) {
        let stopped = tokio::spawn(pending());
        let task = std::mem::replace(&mut *self.task.lock(), stopped);
        task.abort();
        // The listener is closed once the task has ended.
        let _ = task.await;
        let socket = bind(self.address).await;
        *self.bound.lock() = Some(socket);
    }

    /// Accepts connections after [`Self::stop_listening`].
    pub(super) fn listen_again(&self) {
        let socket = self.bound.lock().take().expect("it does not listen");
        let listener = socket.listen(BACKLOG).expect("the port is bound");
        let task = tokio::spawn(accept(listener, self.server, Arc::clone(&self.state)));
        std::mem::replace(&mut *self.task.lock(), task).abort();
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
        self.task.lock().abort();
    }
}

/// Binds a socket to the address of a listener that was closed.
async fn bind(address: SocketAddr) -> TcpSocket {
    let started = Instant::now();
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("the option is known");
        match socket.bind(address) {
            Ok(()) => return socket,
            // A child process holds a copy of the listener until it executes its program.
            Err(_) if started.elapsed() < BIND_MAX => sleep(POLL_INTERVAL).await,
            Err(error) => panic!("the port is not free: {error}"),
        }
    }
}

async fn accept(listener: TcpListener, server: SocketAddr, state: Arc<Mutex<LinkState>>) {
    while let Ok((client, _)) = listener.accept().await {
        tokio::spawn(relay(client, server, Arc::clone(&state)));
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
