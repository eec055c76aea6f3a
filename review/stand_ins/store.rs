//! A stand-in for the platform's store: range reads over what the operator and the servers wrote.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::base64;
use crate::http;

#[derive(Default)]
struct Content {
    items: BTreeMap<String, (String, u64)>,
    revision: u64,
}

/// A store; clones share its content.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    content: Arc<Mutex<Content>>,
}

impl Store {
    /// Starts an empty store on a free port.
    pub fn launch() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            address: listener.local_addr()?,
            content: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Returns the address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: impl Into<String>) {
        let mut content = self.content.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        content
            .items
            .insert(key.to_owned(), (value.into(), revision));
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut reader, |_| {}).ok()? {
            let body = self.range(request.path());
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            writer.write_all((head + &body).as_bytes()).ok()?;
        }
        Some(())
    }

    fn range(&self, path: &str) -> String {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map_or("", |(_, value)| value)
        };
        let (prefix, after) = (value("prefix"), value("after"));
        let content = self.content.lock().unwrap();
        let items = content.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, (value, revision))| {
                let value = base64::encode(value.as_bytes());
                format!(
                    "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
                     \"created\":{revision},\"lease\":0}}"
                )
            })
            .collect();
        let (items, revision) = (items.join(","), content.revision);
        format!("{{\"items\":[{items}],\"truncated\":false,\"storeRevision\":{revision}}}")
    }
}
