//! A stand-in for an endpoint that reads the bodies of requests late.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::raw_head::RawHead;

/// The receive buffer, which a long body fills.
const RECEIVE_BUFFER_BYTES: usize = 4_096;

/// The number of events in a stream.
const EVENT_COUNT: u32 = 6;

/// When a late reader answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateAnswer {
    /// With a stream whose events are sent while the body is unread.
    Before,
    /// With a short body, once it has read that of the request.
    After,
}

/// An endpoint that reads the body of a request only some time after its head.
#[derive(Debug)]
pub struct LateReader {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LateReader {
    /// Starts an endpoint that reads each body `delay` after the head of its request.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn launch(address: SocketAddr, answer: LateAnswer, delay: Duration) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(64)?;
        let listener = TcpListener::from_std(socket.into())?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move {
                    if let Err(error) = serve(stream, answer, delay).await {
                        log::debug!("a connection of a late reader failed: {error}");
                    }
                });
            }
        });
        Ok(Self { address, task })
    }

    /// Starts an endpoint that accepts no connection for a time, and of which the kernel holds few.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn launch_late(address: SocketAddr, accepts_after: Duration) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(1)?;
        let listener = TcpListener::from_std(socket.into())?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            sleep(accepts_after).await;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, LateAnswer::After, Duration::ZERO));
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for LateReader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, answer: LateAnswer, delay: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        serve_one(&mut stream, answer, delay).await?;
    }
}

async fn serve_one(stream: &mut TcpStream, answer: LateAnswer, delay: Duration) -> io::Result<()> {
    let head = RawHead::read(stream).await?;
    let request_id = &head.request_id;
    let common = format!("HTTP/1.1 200 OK\r\nrequest-id: {request_id}\r\nserver-stamp: stamp\r\n");
    if answer == LateAnswer::Before {
        let begin = format!("{common}transfer-encoding: chunked\r\n\r\n");
        stream.write_all(begin.as_bytes()).await?;
        for id in 1..=EVENT_COUNT {
            sleep(delay / EVENT_COUNT).await;
            let event = format!("id: {id}\ndata: part {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
        }
    } else {
        sleep(delay).await;
    }
    head.read_body(stream).await?;
    let end = match answer {
        LateAnswer::Before => "0\r\n\r\n".to_owned(),
        LateAnswer::After => format!("{common}content-length: 4\r\n\r\ndone"),
    };
    stream.write_all(end.as_bytes()).await
}
