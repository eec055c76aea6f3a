//! A client: one request on a new connection.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Sends a request and reads its answer; `None` if the connection ended without one.
///
/// `on_read` is called before each read of the body with the number of bytes read so far.
pub fn ask(
    front: SocketAddr,
    head: &str,
    body: &[u8],
    on_read: impl FnMut(usize),
) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    http::read_message(&mut BufReader::new(stream), on_read)
}
