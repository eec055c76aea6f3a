//! Requests whose connection ends before anything of them is written.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use figramp::clock::Monotonic;
use figramp::edge::ConnectionPool;
use figramp::edge::PooledConnection;
use figramp::edge::UpstreamError;
use figramp::telemetry::ByteCounter;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use socket2::SockRef;
use tokio::task::LocalSet;

const HEAD_END: &[u8] = b"\r\n\r\n";

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// How a peer ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerEnd {
    Close,
    Reset,
}

/// A peer that answers a number of requests on one connection and ends it when told.
struct Peer {
    address: SocketAddr,
    end: mpsc::Sender<PeerEnd>,
    ended: mpsc::Receiver<()>,
    /// Returns what arrived after the answers.
    thread: JoinHandle<Vec<u8>>,
}

impl Peer {
    fn launch(answer_count: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (end, told) = mpsc::channel();
        let (tell_ended, ended) = mpsc::channel();
        let thread = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            for _ in 0..answer_count {
                read_head(&mut stream);
                stream.write_all(ANSWER).expect("the answer is written");
            }
            let end = told.recv().expect("an end");
            let mut rest = Vec::new();
            stream.set_nonblocking(true).expect("an option");
            let _ = stream.read_to_end(&mut rest);
            if end == PeerEnd::Reset {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("an option");
            }
            drop(stream);
            tell_ended.send(()).expect("the test waits");
            rest
        });
        Self {
            address,
            end,
            ended,
            thread,
        }
    }

    /// Ends the connection without letting the event loop of the test learn of it.
    fn end(&self, end: PeerEnd) {
        self.end.send(end).expect("the peer waits");
        self.ended.recv().expect("the peer has ended it");
    }

    fn rest(self) -> Vec<u8> {
        self.thread.join().expect("no panic")
    }
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(HEAD_END) {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

async fn send(connection: &mut PooledConnection) -> Result<Bytes, UpstreamError> {
    let request = Request::post("/book/x").header("host", "test.example");
    let request = request.body(Full::from("")).expect("a request");
    let body = connection.send(request).await?.into_body().collect().await;
    Ok(body.map_err(UpstreamError::Broken)?.to_bytes())
}

async fn connect(peer: &Peer) -> PooledConnection {
    let pool = ConnectionPool::default();
    let bytes = ByteCounter::default();
    let connected = pool.connect(Monotonic::ZERO, peer.address, &bytes).await;
    connected.expect("a connection")
}

/// Sends requests on one connection, of which the last one follows its end at once.
async fn error_after_end(answer_count: usize, end: PeerEnd) -> (UpstreamError, Vec<u8>) {
    let peer = Peer::launch(answer_count);
    let mut connection = connect(&peer).await;
    for _ in 0..answer_count {
        assert_eq!(&*send(&mut connection).await.expect("an answer"), b"ok");
    }
    peer.end(end);
    let error = send(&mut connection).await.expect_err("no answer");
    (error, peer.rest())
}

#[tokio::test]
async fn a_request_on_a_connection_that_has_ended_is_not_sent() {
    let checks = async {
        for answer_count in [0, 1, 2] {
            for end in [PeerEnd::Close, PeerEnd::Reset] {
                let (error, rest) = error_after_end(answer_count, end).await;
                let case = format!("{answer_count} {end:?}");
                assert!(error.is_not_sent(), "{case}: {error}");
                assert!(!error.is_broken_off(), "{case}: {error}");
                assert!(rest.is_empty(), "{case}: {rest:?}");
            }
        }
    };
    LocalSet::new().run_until(checks).await;
}

#[tokio::test]
async fn a_request_that_was_written_before_the_end_may_have_run() {
    let checks = async {
        for end in [PeerEnd::Close, PeerEnd::Reset] {
            let peer = Peer::launch(1);
            let mut connection = connect(&peer).await;
            send(&mut connection).await.expect("an answer");
            let ender = async {
                tokio::time::sleep(Duration::from_millis(100)).await;
                peer.end(end);
            };
            let (sent, ()) = tokio::join!(send(&mut connection), ender);
            let error = sent.expect_err("no answer");
            assert!(!error.is_not_sent(), "{end:?}: {error}");
            assert!(peer.rest().ends_with(HEAD_END), "{end:?}");
        }
    };
    LocalSet::new().run_until(checks).await;
}
