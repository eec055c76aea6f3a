//! A stand-in for an endpoint that writes an earlier refusal once more.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::open_work::work_while_open;
use super::raw_head::RawHead;
use super::work_log::WorkLog;
use super::Work;

/// A refusal that does not name the request that it is for.
const UNIDENTIFIED_REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// How an endpoint writes a refusal once more.
#[derive(Clone, Copy, Debug)]
enum RepeatedRefusal {
    /// With the identifier of the refused request.
    Identified,
    /// Without an identifier; the next request then takes this time.
    Unidentified { work: Duration },
}

type Runs = Arc<Mutex<HashMap<String, u32>>>;

/// An endpoint that refuses every other request of a connection, and writes that refusal once more
/// before it answers the next one, which it runs.
#[derive(Debug)]
pub struct RepeatingRefuser {
    address: SocketAddr,
    runs: Runs,
    work_log: Arc<WorkLog>,
    task: JoinHandle<()>,
}

impl RepeatingRefuser {
    /// Starts an endpoint whose refusals carry these headers, each with its line end.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr, headers: &'static str) -> io::Result<Self> {
        Self::start(address, headers, RepeatedRefusal::Identified).await
    }

    /// Starts an endpoint that leaves the identifier out when it writes a refusal once more, and then works
    /// for this time on the request that it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch_unidentified(address: SocketAddr, work: Duration) -> io::Result<Self> {
        Self::start(address, "", RepeatedRefusal::Unidentified { work }).await
    }

    async fn start(
        address: SocketAddr,
        headers: &'static str,
        repeated: RepeatedRefusal,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let runs = Runs::default();
        let work_log = Arc::<WorkLog>::default();
        let (shared, shared_log) = (Arc::clone(&runs), Arc::clone(&work_log));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (runs, work_log) = (Arc::clone(&shared), Arc::clone(&shared_log));
                tokio::spawn(async move {
                    let served = serve(stream, headers, repeated, &runs, &work_log).await;
                    if let Err(error) = served {
                        log::debug!("a connection of a repeating refuser failed: {error}");
                    }
                });
            }
        });
        Ok(Self {
            address,
            runs,
            work_log,
            task,
        })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its work on all requests so far, in the order of its beginning.
    pub fn works(&self) -> Vec<Work> {
        self.work_log.works()
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

async fn serve(
    mut stream: TcpStream,
    headers: &str,
    repeated: RepeatedRefusal,
    runs: &Runs,
    work_log: &Arc<WorkLog>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let refused = next_request_id(&mut stream).await?;
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\nrequest-id: {}\r\n{headers}content-length: 0\r\n\r\n",
            refused
        );
        stream.write_all(refusal.as_bytes()).await?;
        let run = next_request_id(&mut stream).await?;
        *runs.lock().entry(run.clone()).or_default() += 1;
        let work = work_log.begin(&run);
        match repeated {
            RepeatedRefusal::Identified => stream.write_all(refusal.as_bytes()).await?,
            RepeatedRefusal::Unidentified { work } => {
                stream.write_all(UNIDENTIFIED_REFUSAL).await?;
                work_while_open(&stream, work).await?;
            }
        }
        drop(work);
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
