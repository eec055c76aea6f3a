//! Clients that stay outside the limits.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use super::sockets::settle;

/// What a client sends that never ends what it sends.
const ENDLESS_BYTES: usize = 2 << 20;

/// Less than the buffer that the HTTP library keeps for a connection by default.
const LONG_BYTES: usize = 300 << 10;

/// The receive buffer of a client that reads no answers, so that few of them fill it.
const UNREAD_BYTES: u32 = 4 << 10;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(20);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const DRIBBLE_PAUSE: Duration = Duration::from_millis(200);
const WRITE_BYTES: usize = 64 << 10;

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// Empty lines without end.
    EmptyLines(&'static str),
    /// A request, and empty lines without end once it was answered.
    EmptyLinesAfterRequest(&'static str),
    /// Empty lines, a request, and again, without end.
    EmptyLinesBetweenRequests(&'static str),
    /// A head with one line without end.
    EndlessLine,
    /// A head with lines without end.
    EndlessLines,
    /// A request line without end.
    EndlessRequestLine,
    /// A long part of a head, and then nothing.
    LongPart,
    /// A part of a head of this length, and then nothing.
    Part(usize),
    /// The extension of a chunk without end.
    EndlessExtension(&'static str),
    /// Trailers without end.
    EndlessTrailers(&'static str),
    /// Requests one behind the other, whose answers are not read.
    UnreadAnswers(&'static str),
    /// A head that comes a byte now and then.
    Dribble,
}

impl Shape {
    /// Returns what is sent first; its answer is awaited if the shape sends it as a request of its own.
    fn first(self) -> Vec<u8> {
        let text = match self {
            Self::EmptyLines(_) | Self::EndlessRequestLine | Self::UnreadAnswers(_) => "",
            Self::EmptyLinesBetweenRequests(_) => "",
            Self::EmptyLinesAfterRequest(request) => request,
            Self::EndlessLine => "GET / HTTP/1.1\r\nhost: test.example\r\nfiller: ",
            Self::EndlessLines | Self::LongPart | Self::Part(_) | Self::Dribble => {
                "GET / HTTP/1.1\r\nhost: test.example\r\n"
            }
            Self::EndlessExtension(head) => return format!("{head}1;").into_bytes(),
            Self::EndlessTrailers(head) => return format!("{head}1\r\na\r\n0\r\n").into_bytes(),
        };
        text.as_bytes().to_vec()
    }

    /// Returns what is repeated after it.
    fn repeated(self) -> Vec<u8> {
        match self {
            Self::EmptyLines(line) => line.into(),
            Self::EmptyLinesAfterRequest(_) => b"\r\n".to_vec(),
            Self::EmptyLinesBetweenRequests(request) => {
                format!("{}{request}", "\r\n".repeat(20_000)).into_bytes()
            }
            Self::EndlessLine | Self::EndlessRequestLine | Self::EndlessExtension(_) => {
                vec![b'a'; WRITE_BYTES]
            }
            Self::LongPart | Self::Part(_) => b"f: ".iter().copied().chain([b'a'; 997]).collect(),
            Self::EndlessLines | Self::EndlessTrailers(_) => b"filler: some text\r\n".to_vec(),
            Self::UnreadAnswers(request) => request.into(),
            Self::Dribble => b"a".to_vec(),
        }
    }

    const fn length(self) -> usize {
        match self {
            Self::LongPart => LONG_BYTES,
            Self::Part(length) => length,
            _ => ENDLESS_BYTES,
        }
    }
}

/// Clients with a connection each; they leave when dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects so many clients, and returns once the process reads no more of what they send.
    pub(crate) async fn gather(door: SocketAddr, shape: Shape, count: usize) -> Self {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            clients.spawn(client(door, shape));
        }
        settle(door).await;
        Self { _clients: clients }
    }
}

/// Sends what the shape says, and keeps the connection open.
async fn client(door: SocketAddr, shape: Shape) {
    loop {
        let socket = TcpSocket::new_v4().expect("a socket");
        if matches!(shape, Shape::UnreadAnswers(_)) {
            socket
                .set_recv_buffer_size(UNREAD_BYTES)
                .expect("a buffer size");
        }
        let connected = timeout(CONNECT_TIMEOUT, socket.connect(door)).await;
        let Ok(Ok(mut stream)) = connected else {
            sleep(DRIBBLE_PAUSE).await;
            continue;
        };
        let sent = send(&mut stream, shape).await;
        if shape != Shape::Dribble {
            std::future::pending::<()>().await;
        }
        if sent.is_err() {
            sleep(DRIBBLE_PAUSE).await;
        }
    }
}

async fn send(stream: &mut TcpStream, shape: Shape) -> std::io::Result<()> {
    stream.write_all(&shape.first()).await?;
    if matches!(shape, Shape::EmptyLinesAfterRequest(_)) {
        let mut answer = [0; 1_024];
        let _ = timeout(ANSWER_TIMEOUT, stream.read(&mut answer)).await;
    }
    let piece = shape.repeated();
    if shape == Shape::Dribble {
        loop {
            sleep(DRIBBLE_PAUSE).await;
            stream.write_all(&piece).await?;
        }
    }
    let mut rest = piece.repeat(shape.length().div_ceil(piece.len()));
    rest.truncate(shape.length());
    for bytes in rest.chunks(WRITE_BYTES) {
        stream.write_all(bytes).await?;
    }
    Ok(())
}
