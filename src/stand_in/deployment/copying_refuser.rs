//! A stand-in for an endpoint that writes a copy of a refusal when it runs the refused request.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::open_work::work_while_open;
use super::raw_head::RawHead;
use super::work_log::WorkLog;
use super::Work;

/// Requests whose path contains this are answered with a stream of one event.
const STREAM_PATH: &str = "stream";

/// Which requests an endpoint refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FirstRefusal {
    /// Each request when it comes for the first time, as if it were full.
    Full,
    /// The same, with a status of success.
    FullWithSuccess,
    /// Requests for another instance at its address.
    OtherInstance,
}

/// How an endpoint runs the requests that it refused before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyTiming {
    /// The time from the beginning of the work to the copy of the refusal.
    pub delay: Duration,
    /// The time from the copy to the answer.
    pub work: Duration,
}

/// An endpoint that, when it runs a request on the connection on which it refused it, first writes a copy
/// of that refusal.
#[derive(Debug)]
pub struct CopyingRefuser {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    instance: String,
    refusal: FirstRefusal,
    timing: CopyTiming,
    refused: Mutex<HashSet<String>>,
    connection_count: Mutex<usize>,
    open_count: Mutex<usize>,
    work_log: Arc<WorkLog>,
}

impl CopyingRefuser {
    /// Starts an endpoint with the identifier `instance`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(
        address: SocketAddr,
        instance: &str,
        refusal: FirstRefusal,
        timing: CopyTiming,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            instance: instance.to_owned(),
            refusal,
            timing,
            refused: Mutex::default(),
            connection_count: Mutex::default(),
            open_count: Mutex::default(),
            work_log: Arc::default(),
        });
        let endpoint = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let endpoint = Arc::clone(&endpoint);
                tokio::spawn(async move {
                    *endpoint.open_count.lock() += 1;
                    if let Err(error) = endpoint.serve(stream).await {
                        log::debug!("a connection of a copying refuser ended: {error}");
                    }
                    *endpoint.open_count.lock() -= 1;
                });
            }
        });
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its work on all requests so far, in the order of its beginning.
    pub fn works(&self) -> Vec<Work> {
        self.shared.work_log.works()
    }

    /// Returns whether it has refused a request.
    pub fn has_refused(&self, request_id: &str) -> bool {
        self.shared.refused.lock().contains(request_id)
    }

    /// Returns the number of requests that it has refused.
    pub fn refusal_count(&self) -> usize {
        self.shared.refused.lock().len()
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        *self.shared.open_count.lock()
    }

    /// Returns the number of connections that it has accepted.
    pub fn connection_count(&self) -> usize {
        *self.shared.connection_count.lock()
    }
}

impl Drop for CopyingRefuser {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Shared {
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        *self.connection_count.lock() += 1;
        stream.set_nodelay(true)?;
        let mut refusals: HashMap<String, String> = HashMap::new();
        loop {
            let head = RawHead::read(&mut stream).await?;
            head.read_body(&mut stream).await?;
            let id = &head.request_id;
            if let Some(status) = self.refused_status(&head) {
                let refusal = format!(
                    "HTTP/1.1 {status}\r\nnot-executed: 1\r\nrequest-id: {id}\r\ncontent-length: 0\r\n\r\n"
                );
                self.refused.lock().insert(id.clone());
                stream.write_all(refusal.as_bytes()).await?;
                refusals.insert(id.clone(), refusal);
                continue;
            }
            let _work = self.work_log.begin(id);
            if let Some(refusal) = refusals.get(id) {
                sleep(self.timing.delay).await;
                stream.write_all(refusal.as_bytes()).await?;
            }
            work_while_open(&stream, self.timing.work).await?;
            let body = match head.path.contains(STREAM_PATH) {
                true => "id: 1\ndata: done\n\n",
                false => "done",
            };
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: stamp\r\ncontent-length: {length}\r\n\r\n{body}"
            );
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    /// Returns the status with which a request is refused; `None` if it runs.
    fn refused_status(&self, head: &RawHead) -> Option<&'static str> {
        let is_refused = match self.refusal {
            FirstRefusal::Full | FirstRefusal::FullWithSuccess => {
                !self.refused.lock().contains(&head.request_id)
            }
            FirstRefusal::OtherInstance => head.expected_instance != self.instance,
        };
        is_refused.then_some(match self.refusal {
            FirstRefusal::Full => "503 Service Unavailable",
            FirstRefusal::FullWithSuccess => "200 OK",
            FirstRefusal::OtherInstance => "421 Misdirected Request",
        })
    }
}
