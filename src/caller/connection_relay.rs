//! The relay between a caller's connection and the HTTP server.
//!
//! When the reader of a chunked body fails, Rocket still sends the last chunk, so the body looks
//! complete, and it does not detect a disconnect while nothing is sent. The relay owns the caller's
//! socket and does both: it closes the socket instead of sending the last chunk of an answer that
//! has not reached its end mark, and it reports a disconnect at once.

use std::io;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::caller_connection::CallerConnection;
use super::CallerLimits;

const READ_BUFFER_BYTES: usize = 8 * 1_024;
/// How long to keep reading from a caller whose answer was sent before its request was complete.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The end of a chunk and the last chunk of a body without trailers. Server-sent events hold no
/// carriage return, so these bytes never occur inside them.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Relays bytes in both directions until one side closes, an answer is aborted, or the connection
/// is idle for the read timeout.
pub(super) async fn relay(
    connection: &CallerConnection,
    mut caller: TcpStream,
    mut server: TcpStream,
    limits: CallerLimits,
) {
    let (caller_read, caller_write) = caller.split();
    let (server_read, server_write) = server.split();
    let caller_write = CallerWriter {
        caller: caller_write,
        connection,
        write_timeout: limits.write_timeout,
    };
    let mut requests = std::pin::pin!(relay_requests(connection, caller_read, server_write));
    let answers = relay_answers(connection, server_read, caller_write);
    tokio::select! {
        () = &mut requests => {}
        () = connection.idle_for(limits.read_timeout) => {}
        written = answers => {
            if written.is_ok() {
                // Closing a socket with unread bytes resets the connection, which can discard the
                // answer before the caller has read it.
                let _ = timeout(LINGER_TIMEOUT, requests).await;
            }
        }
    }
    connection.on_disconnect();
}

/// The writing half of a caller's connection.
struct CallerWriter<'a> {
    caller: WriteHalf<'a>,
    connection: &'a CallerConnection,
    write_timeout: Duration,
}

impl CallerWriter<'_> {
    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.connection.set_writing(true);
        let mut rest = bytes;
        while !rest.is_empty() {
            let written = timeout(self.write_timeout, self.caller.write(rest)).await??;
            rest = &rest[written..];
        }
        self.connection.record_activity();
        self.connection.set_writing(false);
        Ok(())
    }
}

/// Relays the caller's bytes until the caller disconnects.
///
/// Once writing to the server fails, the rest is read and dropped.
async fn relay_requests(
    connection: &CallerConnection,
    caller: ReadHalf<'_>,
    mut server: WriteHalf<'_>,
) {
    let mut is_server_open = true;
    while let Ok(Some(bytes)) = read_available(&caller).await {
        connection.record_activity();
        if is_server_open {
            is_server_open = server.write_all(&bytes).await.is_ok();
        }
    }
}

/// Relays the server's bytes until the server closes, or its last chunk comes before the end mark
/// of the answer.
async fn relay_answers(
    connection: &CallerConnection,
    server: ReadHalf<'_>,
    mut caller: CallerWriter<'_>,
) -> io::Result<()> {
    let mut buffered = Vec::new();
    while let Some(bytes) = read_available(&server).await? {
        buffered.extend_from_slice(&bytes);
        let is_answer_open = connection.is_answer_open();
        if is_answer_open && buffered.ends_with(LAST_CHUNK) {
            buffered.truncate(buffered.len() - LAST_CHUNK.len());
            caller.write(&buffered).await?;
            break;
        }
        let retained_bytes = if is_answer_open {
            partial_last_chunk_bytes(&buffered)
        } else {
            0
        };
        let sendable_bytes = buffered.len() - retained_bytes;
        caller.write(&buffered[..sendable_bytes]).await?;
        buffered.drain(..sendable_bytes);
    }
    caller.caller.shutdown().await
}

/// Returns the length of the longest proper prefix of [`LAST_CHUNK`] that `bytes` ends with.
fn partial_last_chunk_bytes(bytes: &[u8]) -> usize {
    (1..LAST_CHUNK.len())
        .rev()
        .find(|length| bytes.ends_with(&LAST_CHUNK[..*length]))
        .unwrap_or(0)
}

/// Reads the available bytes; allocates the buffer only when there are some. `None` is the end.
async fn read_available(half: &ReadHalf<'_>) -> io::Result<Option<Vec<u8>>> {
    loop {
        half.readable().await?;
        let mut buffer = Vec::with_capacity(READ_BUFFER_BYTES);
        match half.try_read_buf(&mut buffer) {
            Ok(0) => return Ok(None),
            Ok(_) => return Ok(Some(buffer)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}
