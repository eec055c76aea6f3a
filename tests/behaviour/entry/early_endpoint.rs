//! Endpoints that answer before they have read the request, and then end the connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use figramp::stand_in::deployment::StoreServer;
use serde_json::json;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::support::any_port;

/// The length of an upload that fills the buffers of its connection many times.
pub(crate) const UPLOAD_BYTES: usize = 8 * 1024 * 1024;

/// How much of a request the endpoint reads before it answers.
const READ_FIRST_BYTES: usize = 10_000;

const PAUSE: Duration = Duration::from_millis(300);

/// How the endpoint ends the connection after its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EarlyEnd {
    Reset,
    /// A reset after a pause, in which the answer is read.
    LateReset,
    /// The end of its own direction, and a reset after a pause.
    HalfClose,
    /// A close, which resets the connection if it has bytes that were not read.
    Close,
}

pub(crate) const EARLY_ENDS: [EarlyEnd; 4] = [
    EarlyEnd::Reset,
    EarlyEnd::LateReset,
    EarlyEnd::HalfClose,
    EarlyEnd::Close,
];

/// What the endpoint answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlyAnswer {
    pub(crate) status_line: &'static str,
    /// The headers that frame the body, each with its line end.
    pub(crate) framing: &'static str,
    pub(crate) body: &'static str,
    pub(crate) end: EarlyEnd,
}

/// An endpoint that gives one answer to each request.
pub(crate) struct EarlyEndpoint {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<String>>>,
}

impl EarlyEndpoint {
    pub(crate) async fn launch(answer: EarlyAnswer) -> Self {
        let listener = TcpListener::bind(any_port()).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&arrivals);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer, Arc::clone(&recorded)));
            }
        });
        Self { address, arrivals }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often a request has arrived.
    pub(crate) fn arrival_count(&self, request_id: &str) -> usize {
        let arrivals = self.arrivals.lock().expect("no panic");
        arrivals.iter().filter(|id| *id == request_id).count()
    }

    /// Returns how many requests have arrived.
    pub(crate) fn total_arrival_count(&self) -> usize {
        self.arrivals.lock().expect("no panic").len()
    }

    /// Registers it with a store as an endpoint of a service.
    pub(crate) fn register(&self, store: &StoreServer, id: &str, service: &str, zone: &str) {
        let record = json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1_000,
        });
        store.put(&format!("servers/{id}"), record.to_string());
    }
}

async fn serve(mut stream: TcpStream, answer: EarlyAnswer, arrivals: Arc<Mutex<Vec<String>>>) {
    let Some(request) = read_first(&mut stream).await else {
        return;
    };
    let header = |name: &str| {
        let mut lines = request.lines();
        let value = lines.find_map(|line| line.strip_prefix(name));
        value.unwrap_or_default().trim().to_owned()
    };
    let id = header("request-id:") + &header("x-request-id:");
    let attempt = header("x-attempt:");
    arrivals.lock().expect("no panic").push(id.clone());
    let EarlyAnswer {
        status_line,
        framing,
        body,
        end,
    } = answer;
    let head = format!(
        "{status_line}\r\nRequest-Id: {id}\r\nX-Request-Id: {id}\r\nX-Attempt: {attempt}\r\n\
         Server-Stamp: stamp\r\n{framing}\r\n{body}"
    );
    let _ = stream.write_all(head.as_bytes()).await;
    match end {
        EarlyEnd::Close => return,
        EarlyEnd::Reset => {}
        EarlyEnd::LateReset => sleep(PAUSE).await,
        EarlyEnd::HalfClose => {
            let _ = stream.shutdown().await;
            sleep(PAUSE).await;
        }
    }
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Reads the head of a request and the beginning of its body; `None` if there is no request.
async fn read_first(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 2_048];
    loop {
        let length = stream.read(&mut buffer).await.ok()?;
        received.extend_from_slice(&buffer[..length]);
        let text = String::from_utf8_lossy(&received).to_ascii_lowercase();
        let Some(head) = text.split("\r\n\r\n").next().filter(|head| *head != text) else {
            if length == 0 {
                return None;
            }
            continue;
        };
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length:"));
        let length: usize = length.map_or(0, |length| length.trim().parse().expect("a length"));
        if received.len() >= head.len() + 4 + length.min(READ_FIRST_BYTES) {
            return Some(head.to_owned());
        }
    }
}
