//! The relay between a caller's connection and the HTTP server.
//!
//! Rocket ends a chunked body as if it were whole when the body's reader fails, and it does not
//! notice that a caller is gone while nothing is sent. The relay owns the caller's socket, so it
//! can do both: it closes the socket in place of the last chunk of an answer whose end mark has not
//! come, and it tells at once when a caller hangs up.

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
/// How long a caller may take to read an answer that came before its request was whole.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The end of a chunk and the last chunk of a body without trailers. Server-sent events hold no
/// carriage return, so these bytes never stand inside them.
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

/// Relays bytes in both directions until one side ends, the connection is broken off, or no request
/// comes on it for the time that one may take to arrive.
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
                // Closing a socket with unread bytes would take the answer back from the caller.
                let _ = timeout(LINGER_TIMEOUT, requests).await;
            }
        }
    }
    connection.hang_up();
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
        self.connection.record_move();
        self.connection.set_writing(false);
        Ok(())
    }
}

/// Relays the caller's bytes until the caller is gone.
///
/// When the server takes no more, the rest is read and dropped.
async fn relay_requests(
    connection: &CallerConnection,
    caller: ReadHalf<'_>,
    mut server: WriteHalf<'_>,
) {
    let mut is_server_open = true;
    while let Ok(Some(bytes)) = read_some(&caller).await {
        connection.record_move();
        if is_server_open {
            is_server_open = server.write_all(&bytes).await.is_ok();
        }
    }
}

/// Relays the server's bytes until the server closes or the answer has to be broken off.
async fn relay_answers(
    connection: &CallerConnection,
    server: ReadHalf<'_>,
    mut caller: CallerWriter<'_>,
) -> io::Result<()> {
    let mut held_back = Vec::new();
    while let Some(bytes) = read_some(&server).await? {
        held_back.extend_from_slice(&bytes);
        let is_answer_open = connection.is_answer_open();
        if is_answer_open && held_back.ends_with(LAST_CHUNK) {
            held_back.truncate(held_back.len() - LAST_CHUNK.len());
            caller.write(&held_back).await?;
            break;
        }
        let kept_bytes = if is_answer_open {
            begun_last_chunk_bytes(&held_back)
        } else {
            0
        };
        let free_bytes = held_back.len() - kept_bytes;
        caller.write(&held_back[..free_bytes]).await?;
        held_back.drain(..free_bytes);
    }
    caller.caller.shutdown().await
}

/// Returns the length of the longest proper beginning of the last chunk that `bytes` ends with.
fn begun_last_chunk_bytes(bytes: &[u8]) -> usize {
    (1..LAST_CHUNK.len())
        .rev()
        .find(|length| bytes.ends_with(&LAST_CHUNK[..*length]))
        .unwrap_or(0)
}

/// Reads what is there; no buffer is held while nothing comes.
async fn read_some(half: &ReadHalf<'_>) -> io::Result<Option<Vec<u8>>> {
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
