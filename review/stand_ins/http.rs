//! The part of HTTP/1.1 that the stand-ins need, over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first_line: String,
    /// The names, in lower case, and values of the headers.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was read.
    pub body: Vec<u8>,
    /// Whether the message ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer; zero if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some(message));
        };
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Reads a whole message; `on_read` is called with the number of bytes of the body read so far, before
/// each further read.
pub fn read_message(
    reader: &mut BufReader<TcpStream>,
    mut on_read: impl FnMut(usize),
) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message
        .header("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    message.is_whole = if is_chunked {
        read_chunks(reader, &mut message.body, &mut on_read).unwrap_or(false)
    } else {
        let length = length.unwrap_or(0);
        read_exactly(reader, length, &mut message.body, &mut on_read).unwrap_or(false)
    };
    Ok(Some(message))
}

fn read_exactly(
    reader: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
    on_read: &mut impl FnMut(usize),
) -> io::Result<bool> {
    let end = body.len() + length;
    let mut buffer = vec![0; 16 * 1024];
    while body.len() < end {
        on_read(body.len());
        let wanted = buffer.len().min(end - body.len());
        let read = reader.read(&mut buffer[..wanted])?;
        if read == 0 {
            return Ok(false);
        }
        body.extend_from_slice(&buffer[..read]);
    }
    Ok(true)
}

fn read_chunks(
    reader: &mut BufReader<TcpStream>,
    body: &mut Vec<u8>,
    on_read: &mut impl FnMut(usize),
) -> io::Result<bool> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return Ok(false);
        };
        if !read_exactly(reader, length, body, on_read)? {
            return Ok(false);
        }
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        if length == 0 {
            return Ok(true);
        }
    }
}
