//! A recorder of HTTP sessions that redacts what differs between runs.

use std::fmt::Write;
use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::caller::support::read_to_close;

const HEX_DIGITS_OF_REQUEST_ID: usize = 32;
const CREATED: &str = "\"created\":";
const SHOWN_HEADERS: [&str; 5] = [
    "content-type",
    "content-length",
    "transfer-encoding",
    "retry-after",
    "x-request-id",
];

/// The requests and answers of a session, with one connection per request.
pub struct Transcript {
    address: SocketAddr,
    text: String,
}

impl Transcript {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            text: String::new(),
        }
    }

    /// Sends a request with a correct `content-length`.
    pub async fn send(&mut self, title: &str, line: &str, headers: &[&str], body: &str) {
        let mut request = format!("{line} HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n");
        for header in headers {
            write!(request, "{header}\r\n").unwrap();
        }
        write!(request, "content-length: {}\r\n\r\n{body}", body.len()).unwrap();
        self.send_raw(title, &request).await;
    }

    /// Sends `request` unchanged.
    pub async fn send_raw(&mut self, title: &str, request: &str) {
        let mut socket = TcpStream::connect(self.address).await.unwrap();
        socket.write_all(request.as_bytes()).await.unwrap();
        let answer = read_to_close(&mut socket).await;
        let request = request.replace("connection: close\r\n", "");
        let request: String = request.chars().take(400).collect();
        let shown = format!("{}\n{}", request.trim_end(), shown_answer(&answer));
        write!(self.text, "### {title}\n{}\n\n", shown.replace('\r', "")).unwrap();
    }

    /// Returns the redacted transcript.
    pub fn finish(self) -> String {
        redact_created(&redact_request_ids(&self.text))
    }
}

fn shown_answer(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let is_shown = |line: &&str| {
        let name = line.split(':').next().unwrap_or_default().to_lowercase();
        line.starts_with("HTTP/") || SHOWN_HEADERS.contains(&name.as_str())
    };
    let mut lines: Vec<&str> = head.lines().filter(is_shown).collect();
    lines[1..].sort_unstable();
    format!("---\n{}\n\n{}", lines.join("\n"), body.trim_end())
}

fn redact_request_ids(text: &str) -> String {
    let is_hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let mut redacted = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(is_hex) {
        let run = &rest[start..];
        let length = run.find(|c| !is_hex(c)).unwrap_or(run.len());
        redacted.push_str(&rest[..start]);
        redacted.push_str(match length {
            HEX_DIGITS_OF_REQUEST_ID => "[request id]",
            _ => &run[..length],
        });
        rest = &run[length..];
    }
    redacted + rest
}

fn redact_created(text: &str) -> String {
    let mut parts = text.split(CREATED);
    let mut redacted = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_digit());
        redacted.push_str(CREATED);
        redacted.push_str("[time]");
        redacted.push_str(rest);
    }
    redacted
}
