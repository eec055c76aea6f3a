//! A daemon of `figramp entry` with lowered limits, and stand-ins of its platform in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::StoreServer;
use serde_json::json;
use serde_json::Value;

use super::sockets::open_descriptors;
use super::sockets::peak_memory_kb;

/// The memory of the settings; the process stays within it.
pub(crate) const MEMORY_MB: u64 = 64;
/// The descriptors of the settings; the process stays within them.
pub(crate) const DESCRIPTORS_MAX: usize = 1_300;
/// `maxHeaderBytes` and `maxBodyBytes` of the configuration, unless a test has others.
pub(crate) const HEADER_MAX_BYTES: usize = 16 << 10;
pub(crate) const BODY_MAX_BYTES: usize = 4 << 20;

/// A head of a request for the stand-ins, without the end of its head.
pub(crate) const HEAD: &str = "POST /read/plan HTTP/1.1\r\nhost: test.example\r\n\
    request-id: r1\r\ntimeout-ms: 3500\r\n";

const SERVED_WAIT: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// The ports of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Door {
    Directory = 8220,
    Clients = 8221,
    Readiness = 8224,
    Peers = 8229,
    Metrics = 9464,
}

/// A daemon; it is killed when dropped.
pub(crate) struct EntryProcess {
    ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    _store: StoreServer,
    _endpoint: EndpointServer,
}

impl EntryProcess {
    /// Starts a daemon and waits until it serves.
    pub(crate) async fn launch() -> Self {
        Self::launch_with(HEADER_MAX_BYTES).await
    }

    /// Starts a daemon with this `maxHeaderBytes` and waits until it serves.
    pub(crate) async fn launch_with(header_max_bytes: usize) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = StoreServer::launch(any_port).await.expect("a store");
        store.put("op/config", configuration(header_max_bytes).to_string());
        let endpoint = EndpointServer::launch(any_port, "p1", "plain", "east-a").await;
        let endpoint = endpoint.expect("an endpoint");
        store.put(&endpoint.key(), endpoint.record("ready"));
        let process_id = std::process::id();
        let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
        // The tests of behaviour use the networks from 127.64 on.
        let ip = Ipv4Addr::new(
            127,
            32 + (process_id >> 8) as u8 % 32,
            process_id as u8,
            number,
        );
        let name = format!("figramp-crowds-{process_id}-{number}.json");
        let path = std::env::temp_dir().join(name);
        let text = settings(ip, store.address()).to_string();
        std::fs::write(&path, text).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_figramp"))
            .arg("entry")
            .env("FIGRAMP_CONFIG", &path)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        let mut process = Self {
            ip,
            child,
            settings: path,
            _store: store,
            _endpoint: endpoint,
        };
        process.check_serves().await;
        process
    }

    pub(crate) fn address(&self, door: Door) -> SocketAddr {
        SocketAddr::from((self.ip, door as u16))
    }

    /// Checks that the process lives within its settings and answers an ordinary request.
    pub(crate) async fn check_bounds(&mut self) {
        self.check_serves().await;
        let memory_kb = peak_memory_kb(self.child.id());
        let descriptors = open_descriptors(self.child.id());
        println!("peak {memory_kb} KB, {descriptors} descriptors");
        assert!(
            memory_kb <= MEMORY_MB * 1_024,
            "peak of {memory_kb} KB, {MEMORY_MB} MB allowed"
        );
        assert!(
            descriptors <= DESCRIPTORS_MAX,
            "{descriptors} descriptors, {DESCRIPTORS_MAX} allowed"
        );
    }

    /// Checks that an ordinary request is answered; an ordinary client repeats it until it is.
    async fn check_serves(&mut self) {
        let serving = async {
            while !self.is_serving().await {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        };
        let served = tokio::time::timeout(SERVED_WAIT, serving).await;
        let status = self.child.try_wait().expect("the status is known");
        assert!(status.is_none(), "the process ended: {status:?}");
        assert!(served.is_ok(), "no ordinary request was answered");
    }

    async fn is_serving(&self) -> bool {
        let url = format!("http://{}/read/plan", self.address(Door::Clients));
        let request = reqwest::Client::new()
            .post(url)
            .header("host", "test.example")
            .header("request-id", "ordinary")
            .header("timeout-ms", "3500")
            .body("ask");
        let answer = request.send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn configuration(header_max_bytes: usize) -> Value {
    json!({
        "version": 1,
        "routes": [{
            "name": "read", "host": "test.example", "prefix": "/read/", "routeType": "safe",
            "timeoutMs": 4000, "targetLatencyMs": 1000, "gapTargetMs": 300, "priority": 1,
            "service": "plain", "maxAttempts": 2, "public": true, "resumable": false,
            "homeRegions": [],
        }],
        "services": [{"name": "plain", "maxConnections": 100, "coldStartS": 0, "coldPerS": 0}],
        "limits": {"maxHeaderBytes": header_max_bytes, "maxBodyBytes": BODY_MAX_BYTES,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [],
    })
}

fn settings(ip: Ipv4Addr, store: SocketAddr) -> Value {
    let address = |door: Door| format!("{ip}:{}", door as u16);
    json!({
        "node": format!("vm-{ip}"), "ip": ip, "zone": "east-a", "zones": {"east-a": "east"},
        "listen": {"front": address(Door::Clients), "ready": address(Door::Readiness),
                   "control": address(Door::Peers), "directory": address(Door::Directory)},
        "portRange": [7600, 7615], "seeds": [],
        "limits": {"memoryMb": MEMORY_MB, "maxFds": DESCRIPTORS_MAX}, "heartbeatMs": 1200,
        "bounds": {"configDeadlineMs": 3000, "revokeMs": 5000, "graceS": 8, "stableWindowMs": 5000,
                   "ttl_max_s": 5, "coldOverage": 1.5, "coldSlack": 3, "retryBudgetRatio": 0.2,
                   "budgetWindowS": 10, "budgetSlack": 113},
        "platform": {"address": store},
    })
}
