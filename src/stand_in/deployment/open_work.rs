//! Work of a stand-in that ends with its connection.

use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio::time::Instant;

/// Waits for this time, or returns an error as soon as the connection is closed.
pub(super) async fn work_while_open(stream: &TcpStream, time: Duration) -> io::Result<()> {
    let mut byte = [0];
    let ends_at = Instant::now() + time;
    match timeout_at(ends_at, stream.peek(&mut byte)).await {
        Err(_) => Ok(()),
        Ok(Err(error)) => Err(error),
        Ok(Ok(0)) => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
        // The next request; it is read after this one.
        Ok(Ok(_)) => {
            sleep_until(ends_at).await;
            Ok(())
        }
    }
}
