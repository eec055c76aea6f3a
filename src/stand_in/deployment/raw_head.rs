//! The head of a request or an answer, read by stand-ins that do without an HTTP library.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const HEAD_END: &[u8] = b"\r\n\r\n";

/// What a stand-in needs of the head of a request.
pub(super) struct RawHead {
    pub(super) path: String,
    pub(super) request_id: String,
    /// The instance that the request is for; empty if it names none.
    pub(super) expected_instance: String,
    body_length: usize,
}

impl RawHead {
    /// Reads the head of the next request.
    pub(super) async fn read(stream: &mut TcpStream) -> io::Result<Self> {
        let mut head = Vec::new();
        while !head.ends_with(HEAD_END) {
            head.push(stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&head);
        let body_length = header(&head, "content-length").and_then(|value| value.parse().ok());
        Ok(Self {
            path: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            request_id: header(&head, "request-id").unwrap_or_default(),
            expected_instance: header(&head, "expect-instance").unwrap_or_default(),
            body_length: body_length.unwrap_or(0),
        })
    }

    /// Reads the body that follows, and discards it.
    pub(super) async fn read_body(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut body = vec![0; self.body_length];
        stream.read_exact(&mut body).await?;
        Ok(())
    }
}

/// Returns the position after the end of the head that the bytes begin with; `None` if it has not come.
pub(super) fn position_after_head(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let start = windows.position(|window| window == HEAD_END)?;
    Some(start + HEAD_END.len())
}

/// Returns the value of a header of a request or an answer.
pub(super) fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut values = lines.filter(|(other, _)| other.eq_ignore_ascii_case(name));
    values.next().map(|(_, value)| value.trim().to_owned())
}
