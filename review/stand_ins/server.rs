//! A stand-in for a server of a service.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

/// How often a server writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Answers a request that the server ran; returns whether the connection can be kept.
pub type Answer = dyn Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync;

/// A server that registers itself in the store.
pub struct Server;

impl Server {
    /// Starts a server on a free port; it serves until the process ends.
    pub fn launch(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        answer: Arc<Answer>,
    ) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (id, record) = (id.to_owned(), record.clone());
        let entry = Entry {
            id: id.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            born: now_ms(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record) = (id.clone(), record.clone());
                let answer = Arc::clone(&answer);
                thread::spawn(move || serve(&id, &record, stream, &*answer));
            }
        });
        entry.write(store, 1);
        let store = store.clone();
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                entry.write(&store, sequence);
            }
        });
        Ok(())
    }
}

struct Entry {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    born: u128,
}

impl Entry {
    fn write(&self, store: &Store, sequence: u64) {
        let Self {
            id,
            service,
            zone,
            address,
            born,
        } = self;
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put(&format!("servers/{id}"), value);
    }
}

fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

fn serve(id: &str, record: &Record, stream: TcpStream, answer: &Answer) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read_message(&mut reader, |_| {}).ok()? {
        let expected = request.header("expect-instance").unwrap_or(id);
        if matches!(request.path(), "/health" | "/report") {
            let body = "{}";
            let head = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(head.as_bytes()).ok()?;
        } else if expected != id {
            let head = "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            writer.write_all(head.as_bytes()).ok()?;
        } else {
            record.line(format!(
                "server {id} gets {} as request {}, Timeout-Ms {}",
                request.first_line,
                request.header("request-id").unwrap_or("-"),
                request.header("timeout-ms").unwrap_or("-"),
            ));
            if !answer(&request, &mut writer).ok()? {
                return Some(());
            }
        }
    }
    Some(())
}

/// A `Server-Stamp`, new for each answer.
pub fn stamp() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("s-{:08x}", COUNT.fetch_add(1, Ordering::Relaxed))
}
