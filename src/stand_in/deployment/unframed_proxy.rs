//! A proxy before an endpoint stand-in that passes its answers on without length and chunks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const HEAD_END: &[u8] = b"\r\n\r\n";

const EVENT_END: &[u8] = b"\n\n";

/// How a proxy frames an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AnswerFraming {
    /// With a length, on a connection that stays open.
    #[default]
    Length,
    /// In HTTP/1.1 without a header that announces the end of the connection.
    UntilClose,
    /// In HTTP/1.1 with `Connection: close`.
    AnnouncedClose,
    /// In HTTP/1.0.
    Http10,
}

/// How the connection of an answer without length ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The proxy sends no more, and reads on.
    #[default]
    HalfClose,
    /// The proxy resets the connection.
    Reset,
}

/// Where a proxy breaks an answer off: a number of whole events and of bytes after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakOff {
    /// The whole events that are passed on.
    pub after_events: usize,
    /// The bytes that are passed on after these events.
    pub then_bytes: usize,
}

/// What a proxy does with the answers that pass; the default gives them a length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UnframedAnswers {
    /// How the answers are framed.
    pub framing: AnswerFraming,
    /// Where an answer is broken off; `None` passes it on whole.
    pub break_off: Option<BreakOff>,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

#[derive(Debug, Default)]
struct ProxyState {
    answers: UnframedAnswers,
    connection_count: u32,
    bytes_after_end: usize,
}

/// A proxy before an endpoint; an answer whose length it does not send ends with its connection.
#[derive(Debug)]
pub struct UnframedProxy {
    address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
    task: JoinHandle<()>,
}

impl UnframedProxy {
    /// Starts a proxy before the endpoint at `endpoint`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(address: SocketAddr, endpoint: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(ProxyState::default()));
        let served = Arc::clone(&state);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                served.lock().connection_count += 1;
                let state = Arc::clone(&served);
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, endpoint, state).await {
                        log::debug!("a connection of a proxy failed: {error}");
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

    /// Replaces what is done with the answers.
    pub fn set_answers(&self, answers: UnframedAnswers) {
        self.state.lock().answers = answers;
    }

    /// Returns the number of accepted connections.
    pub fn connection_count(&self) -> u32 {
        self.state.lock().connection_count
    }

    /// Returns the number of bytes received on connections that had ended their answer.
    pub fn bytes_after_end(&self) -> usize {
        self.state.lock().bytes_after_end
    }
}

impl Drop for UnframedProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    endpoint: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    while let Some(request) = read_request(&mut stream).await? {
        let answer = fetch(endpoint, &request).await?;
        let answers = state.lock().answers;
        stream.write_all(&encode(&answer, &answers)?).await?;
        match (answers.framing, answers.end) {
            (AnswerFraming::Length, _) => {}
            (_, ConnectionEnd::Reset) => {
                return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
            (_, ConnectionEnd::HalfClose) => return half_close(stream, &state).await,
        }
    }
    Ok(())
}

/// Ends the answer and counts what still arrives.
async fn half_close(mut stream: TcpStream, state: &Mutex<ProxyState>) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buffer = [0; 1_024];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        state.lock().bytes_after_end += length;
    }
}

/// Reads a request; `None` if the peer closed the connection before one.
async fn read_request(stream: &mut TcpStream) -> io::Result<Option<Vec<u8>>> {
    let mut received = Vec::new();
    loop {
        if let Some(head_length) = position_after(&received, HEAD_END) {
            if received.len() >= head_length + content_length(&received[..head_length]) {
                return Ok(Some(received));
            }
        }
        if stream.read_buf(&mut received).await? == 0 {
            return Ok(None);
        }
    }
}

fn content_length(head: &[u8]) -> usize {
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let value = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

/// Sends a request to the endpoint in HTTP/1.0, so that the connection ends with the answer.
async fn fetch(endpoint: SocketAddr, request: &[u8]) -> io::Result<Vec<u8>> {
    let line_length = position_after(request, b"\r\n").ok_or_else(malformed)?;
    let (line, rest) = request.split_at(line_length);
    let line = String::from_utf8_lossy(line).replace("HTTP/1.1", "HTTP/1.0");
    let mut stream = TcpStream::connect(endpoint).await?;
    stream.write_all(line.as_bytes()).await?;
    stream.write_all(rest).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer)
}

/// Returns the answer in the form in which it is passed on.
fn encode(answer: &[u8], answers: &UnframedAnswers) -> io::Result<Vec<u8>> {
    let head_length = position_after(answer, HEAD_END).ok_or_else(malformed)?;
    let (head, body) = answer.split_at(head_length);
    let head = String::from_utf8_lossy(head);
    let mut lines = head.lines();
    let status = lines.next().and_then(|line| line.split_once(' '));
    let (_, status) = status.ok_or_else(malformed)?;
    let version = match answers.framing {
        AnswerFraming::Http10 => "HTTP/1.0",
        _ => "HTTP/1.1",
    };
    let mut passed = format!("{version} {status}\r\n");
    for line in lines.filter(|line| !line.is_empty() && !concerns_connection(line)) {
        passed.push_str(line);
        passed.push_str("\r\n");
    }
    match answers.framing {
        AnswerFraming::Length => passed.push_str(&format!("content-length: {}\r\n", body.len())),
        AnswerFraming::AnnouncedClose => passed.push_str("connection: close\r\n"),
        AnswerFraming::UntilClose | AnswerFraming::Http10 => {}
    }
    passed.push_str("\r\n");
    let mut passed = passed.into_bytes();
    passed.extend_from_slice(&body[..passed_length(body, answers.break_off)]);
    Ok(passed)
}

fn concerns_connection(line: &str) -> bool {
    let name = line.split(':').next().unwrap_or_default();
    ["connection", "content-length", "transfer-encoding"]
        .iter()
        .any(|other| name.eq_ignore_ascii_case(other))
}

fn passed_length(body: &[u8], break_off: Option<BreakOff>) -> usize {
    let Some(break_off) = break_off else {
        return body.len();
    };
    let events = (0..break_off.after_events).fold(0, |start, _| {
        position_after(&body[start..], EVENT_END).map_or(body.len(), |length| start + length)
    });
    body.len().min(events + break_off.then_bytes)
}

/// Returns the position after the first occurrence of `pattern`.
fn position_after(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let start = bytes
        .windows(pattern.len())
        .position(|window| window == pattern)?;
    Some(start + pattern.len())
}

fn malformed() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "not a message in HTTP")
}
