//! A stand-in for an endpoint that writes an earlier refusal once more.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::raw_head::RawHead;

type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// An endpoint that refuses every other request of a connection, and writes that refusal once more
/// before it answers the next one, which it runs.
#[derive(Debug)]
pub struct RepeatingRefuser {
    address: SocketAddr,
    runs: Runs,
    task: JoinHandle<()>,
}

impl RepeatingRefuser {
    /// Starts an endpoint whose refusals carry these headers, each with its line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr, headers: &'static str) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let runs = Runs::default();
        let shared = Arc::clone(&runs);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let runs = Arc::clone(&shared);
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, headers, &runs).await {
                        log::debug!("a connection of a repeating refuser failed: {error}");
                    }
                });
            }
        });
        Ok(Self {
            address,
            runs,
            task,
        })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, request_id: &str) -> u32 {
        self.runs.lock().get(request_id).copied().unwrap_or(0)
    }
}

impl Drop for RepeatingRefuser {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, headers: &str, runs: &Runs) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let refused = next_request_id(&mut stream).await?;
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nrequest-id: {}\r\n{headers}content-length: 0\r\n\r\n",
            refused
        );
        stream.write_all(refusal.as_bytes()).await?;
        let run = next_request_id(&mut stream).await?;
        stream.write_all(refusal.as_bytes()).await?;
        *runs.lock().entry(run.clone()).or_default() += 1;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nserver-stamp: stamp\r\ncontent-length: 4\r\n\r\ndone",
            run
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

async fn next_request_id(stream: &mut TcpStream) -> io::Result<String> {
    let head = RawHead::read(stream).await?;
    head.read_body(stream).await?;
    Ok(head.request_id)
}
