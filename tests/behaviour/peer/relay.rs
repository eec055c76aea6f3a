//! A TCP relay between two VMs.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use tokio::io::copy_bidirectional;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::fixture::loopback;

/// A TCP relay that can stop forwarding without closing its connections, as in a network partition.
pub struct Relay {
    pub is_silent: Arc<AtomicBool>,
}

impl Relay {
    pub fn launch(to: SocketAddr) -> (Self, SocketAddr) {
        let is_silent = Arc::new(AtomicBool::new(false));
        let listener = std::net::TcpListener::bind(loopback()).unwrap();
        let address = listener.local_addr().unwrap();
        Self::serve(listener, to, is_silent.clone());
        (Self { is_silent }, address)
    }

    pub fn serve(listener: std::net::TcpListener, to: SocketAddr, silent: Arc<AtomicBool>) {
        listener.set_nonblocking(true).unwrap();
        let listener = TcpListener::from_std(listener).unwrap();
        tokio::spawn(async move {
            while let Ok((mut client, _)) = listener.accept().await {
                let silent = silent.clone();
                tokio::spawn(async move {
                    let mut server = TcpStream::connect(to).await.unwrap();
                    if silent.load(Ordering::SeqCst) {
                        let _ = copy_bidirectional(&mut client, &mut server).await;
                        return;
                    }
                    relay_until_silent(client, server, &silent).await;
                });
            }
        });
    }
}

/// Relays until `silent` is set, then keeps both connections open and forwards nothing.
async fn relay_until_silent(mut client: TcpStream, mut server: TcpStream, silent: &AtomicBool) {
    let mut client_bytes = [0; 4096];
    let mut server_bytes = [0; 4096];
    loop {
        tokio::select! {
            read = client.read(&mut client_bytes) => {
                let read = read.unwrap_or(0);
                if silent.load(Ordering::SeqCst) {
                    std::future::pending::<()>().await;
                }
                if read == 0 || server.write_all(&client_bytes[..read]).await.is_err() {
                    return;
                }
            }
            read = server.read(&mut server_bytes) => {
                let read = read.unwrap_or(0);
                if silent.load(Ordering::SeqCst) {
                    std::future::pending::<()>().await;
                }
                if read == 0 || client.write_all(&server_bytes[..read]).await.is_err() {
                    return;
                }
            }
        }
    }
}
