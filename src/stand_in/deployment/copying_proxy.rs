//! A proxy before an endpoint stand-in that writes copies of its refusals.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;
use tokio::time::Instant;

use super::raw_head::header;
use super::raw_head::position_after_head;

/// The probability of a copy right after a refusal.
const AT_ONCE_CHANCE: f64 = 0.2;

/// The probability of a copy before the answer to a request that was refused on the connection.
const SAME_REQUEST_CHANCE: f64 = 0.8;

/// The probability of a copy before the answer to another request on the connection.
const OTHER_REQUEST_CHANCE: f64 = 0.2;

/// The longest time from a request to the copy before its answer, which is written earlier if the answer comes.
const DELAY_MAX_MS: u64 = 60;

/// The number of copies that a proxy has written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CopyCounts {
    /// Right after the refusal.
    pub at_once: u32,
    /// Before the answer to the request that had been refused.
    pub same_request: u32,
    /// Before the answer to another request.
    pub other_request: u32,
}

/// A proxy that passes requests and answers on, and while it is told to, writes copies of earlier refusals of
/// a connection.
#[derive(Debug)]
pub struct CopyingProxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
    task: JoinHandle<()>,
}

#[derive(Debug)]
struct ProxyState {
    rng: StdRng,
    is_copying: bool,
    counts: CopyCounts,
}

impl CopyingProxy {
    /// Starts a proxy before the endpoint at `endpoint` that draws its copies from this seed.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr, endpoint: SocketAddr, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ProxyState {
            rng: StdRng::seed_from_u64(seed),
            is_copying: false,
            counts: CopyCounts::default(),
        }));
        let served = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let state = Arc::clone(&served);
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, endpoint, state).await {
                        log::debug!("a connection of a copying proxy failed: {error}");
                    }
                });
            }
        });
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets whether it writes copies.
    pub fn set_copying(&self, is_copying: bool) {
        self.state.lock().is_copying = is_copying;
    }

    /// Returns the number of copies that it has written.
    pub fn counts(&self) -> CopyCounts {
        self.state.lock().counts
    }
}

impl Drop for CopyingProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut client: TcpStream,
    endpoint: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
) -> io::Result<()> {
    let mut server = TcpStream::connect(endpoint).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let mut connection = Connection::default();
    let (mut request, mut answer) = ([0; 4_096], [0; 4_096]);
    loop {
        let copy_at = connection.copy.as_ref().map(|copy| copy.at);
        tokio::select! {
            length = client.read(&mut request) => {
                let bytes = &request[..length?];
                if bytes.is_empty() {
                    return Ok(());
                }
                server.write_all(bytes).await?;
                connection.on_request(bytes, &mut state.lock());
            }
            length = server.read(&mut answer) => {
                let bytes = &answer[..length?];
                if bytes.is_empty() {
                    return Ok(());
                }
                let passed = connection.on_answer(bytes, &mut state.lock());
                client.write_all(&passed).await?;
            }
            () = sleep_until(copy_at.unwrap_or_else(Instant::now)), if copy_at.is_some() => {
                let copy = connection.take_copy(&mut state.lock());
                client.write_all(&copy).await?;
            }
        }
    }
}

/// A refusal as it was written.
#[derive(Clone, Debug)]
struct WrittenRefusal {
    request_id: String,
    bytes: Vec<u8>,
}

/// A copy that is due before an answer.
#[derive(Debug)]
struct DueCopy {
    at: Instant,
    refusal: WrittenRefusal,
}

/// A connection, which has one request at a time.
#[derive(Debug, Default)]
struct Connection {
    refusals: Vec<WrittenRefusal>,
    request: Vec<u8>,
    /// The identifier of the request, once its head has come.
    request_id: Option<String>,
    answer_head: Vec<u8>,
    is_answered: bool,
    copy: Option<DueCopy>,
}

impl Connection {
    fn on_request(&mut self, bytes: &[u8], state: &mut ProxyState) {
        if self.is_answered {
            *self = Self {
                refusals: std::mem::take(&mut self.refusals),
                ..Self::default()
            };
        }
        if self.request_id.is_some() {
            return;
        }
        self.request.extend_from_slice(bytes);
        if let Some(length) = position_after_head(&self.request) {
            let head = String::from_utf8_lossy(&self.request[..length]);
            self.request_id = Some(header(&head, "request-id").unwrap_or_default());
            self.copy = self.draw_copy(state);
        }
    }

    fn draw_copy(&self, state: &mut ProxyState) -> Option<DueCopy> {
        if !state.is_copying || self.refusals.is_empty() {
            return None;
        }
        let any = state.rng.random_range(0..self.refusals.len());
        let mut refusals = self.refusals.iter().rev();
        let same = refusals.find(|refusal| self.is_under_way(refusal));
        let chance = match same {
            Some(_) => SAME_REQUEST_CHANCE,
            None => OTHER_REQUEST_CHANCE,
        };
        let delay = Duration::from_millis(state.rng.random_range(0..DELAY_MAX_MS));
        let refusal = same.unwrap_or(&self.refusals[any]);
        state.rng.random_bool(chance).then(|| DueCopy {
            at: Instant::now() + delay,
            refusal: refusal.clone(),
        })
    }

    fn is_under_way(&self, refusal: &WrittenRefusal) -> bool {
        self.request_id.as_ref() == Some(&refusal.request_id)
    }

    /// Returns the bytes of the copy that is due; empty if none is.
    fn take_copy(&mut self, state: &mut ProxyState) -> Vec<u8> {
        let Some(copy) = self.copy.take() else {
            return Vec::new();
        };
        match self.is_under_way(&copy.refusal) {
            true => state.counts.same_request += 1,
            false => state.counts.other_request += 1,
        }
        copy.refusal.bytes
    }

    /// Returns what is passed on: the head of an answer at once, after the copy that is due.
    fn on_answer(&mut self, bytes: &[u8], state: &mut ProxyState) -> Vec<u8> {
        if self.is_answered {
            return bytes.to_vec();
        }
        self.answer_head.extend_from_slice(bytes);
        let Some(length) = position_after_head(&self.answer_head) else {
            return Vec::new();
        };
        self.is_answered = true;
        let mut passed = self.take_copy(state);
        passed.extend_from_slice(&self.answer_head);
        if is_refusal(&self.answer_head[..length]) {
            if state.is_copying && state.rng.random_bool(AT_ONCE_CHANCE) {
                state.counts.at_once += 1;
                passed.extend_from_slice(&self.answer_head);
            }
            self.refusals.push(WrittenRefusal {
                request_id: self.request_id.clone().unwrap_or_default(),
                bytes: std::mem::take(&mut self.answer_head),
            });
        }
        passed
    }
}

/// Returns whether this is the head of a refusal without a body.
fn is_refusal(head: &[u8]) -> bool {
    let head = String::from_utf8_lossy(head);
    let is_empty = header(&head, "content-length").as_deref() == Some("0");
    is_empty && (header(&head, "not-executed").is_some() || head.starts_with("HTTP/1.1 421 "))
}
