//! Asks the kernel whether the other side of a connection has closed it.

use std::io;
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Returns whether the peer has closed or reset a connection, unless bytes before its close have not been
/// read yet.
///
/// A busy event loop learns of a close only after the tasks that are ready.
pub(super) fn is_closed_by_peer(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    match SockRef::from(stream).peek(&mut byte) {
        Ok(count) => count == 0,
        Err(error) => !matches!(
            error.kind(),
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
        ),
    }
}
