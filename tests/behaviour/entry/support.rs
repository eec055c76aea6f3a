//! Starts daemons as processes, each with its own loopback address.

use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::StoreServer;
use reqwest::RequestBuilder;
use serde_json::json;
use serde_json::Value;

pub(crate) const KEY: &str = "key-of-the-nursery";
pub(crate) const ACCOUNT: &str = "nursery";
pub(crate) const EAST: &str = "east-a";
pub(crate) const WEST: &str = "west-a";
pub(crate) const NORTH: &str = "north-a";

const CLIENT_PORT: u16 = 8221;
const READY_PORT: u16 = 8224;
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// SIGHUP, SIGINT and SIGTERM.
const HANDLED_SIGNALS: [u32; 3] = [1, 2, 15];

static NEXT_ADDRESS: AtomicU16 = AtomicU16::new(1);

/// Returns a loopback address that no other daemon of this test run uses.
pub(crate) fn new_ip() -> Ipv4Addr {
    let process = std::process::id();
    let [block, number] = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    // Processes that run at the same time differ little in their identifiers.
    let second = 64 + ((process >> 8) as u8).wrapping_add(block.wrapping_mul(32)) % 128;
    Ipv4Addr::new(127, second, process as u8, number)
}

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns a configuration of two services: `plain` with a safe and an unsafe route, `engine` with
/// a resumable stream and one that is not.
pub(crate) fn configuration(version: u64, api_keys: &[&str]) -> Value {
    let route = |name: &str, kind: &str, service: &str, resumable: bool, attempts: u32| {
        json!({
            "name": name, "host": "test.example", "prefix": format!("/{name}/"),
            "routeType": kind, "timeoutMs": 4000, "targetLatencyMs": 1000, "gapTargetMs": 300,
            "priority": 1, "service": service, "maxAttempts": attempts, "public": false,
            "resumable": resumable, "homeRegions": [],
        })
    };
    let mut homed = route("homed", "safe", "plain", false, 2);
    homed["homeRegions"] = json!(["west"]);
    json!({
        "version": version,
        "routes": [
            homed,
            route("read", "safe", "plain", false, 2),
            route("book", "unsafe", "plain", false, 2),
            route("stream", "streaming", "engine", true, 2),
            route("tip-stream", "streaming", "engine", false, 2),
        ],
        "services": [
            {"name": "plain", "maxConnections": 100, "coldStartS": 0, "coldPerS": 0},
            {"name": "engine", "maxConnections": 100, "coldStartS": 3, "coldPerS": 6.8,
             "engine": {"slots": 8}},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": ACCOUNT, "apiKeys": api_keys, "unit": "tokens", "plainTokens": 200,
                     "ratePerS": 0, "burst": 0, "homeRegions": []}],
    })
}

/// The ports of the traffic between daemons; each daemon takes them to be the same everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerPorts {
    pub(crate) first: u16,
    pub(crate) last: u16,
    pub(crate) control: u16,
}

pub(crate) const PEER_PORTS: PeerPorts = PeerPorts {
    first: 7600,
    last: 7615,
    control: 8229,
};

fn settings(
    ip: Ipv4Addr,
    zone: &str,
    store: SocketAddr,
    seeds: &[Ipv4Addr],
    ports: PeerPorts,
) -> Value {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("{seed}:{}", ports.control))
        .collect();
    json!({
        "node": format!("vm-{ip}"), "ip": ip, "zone": zone,
        "zones": {EAST: "east", WEST: "west", NORTH: "north"},
        "listen": {"front": format!("{ip}:{CLIENT_PORT}"), "ready": format!("{ip}:{READY_PORT}"),
                   "control": format!("{ip}:{}", ports.control), "directory": format!("{ip}:8220")},
        "portRange": [ports.first, ports.last], "seeds": seeds,
        "limits": {"memoryMb": 182, "maxFds": 2870}, "heartbeatMs": 1200,
        "bounds": {"configDeadlineMs": 3000, "revokeMs": 5000, "graceS": 8, "stableWindowMs": 5000,
                   "ttl_max_s": 5, "coldOverage": 1.5, "coldSlack": 3, "retryBudgetRatio": 0.2,
                   "budgetWindowS": 10, "budgetSlack": 113},
        "platform": {"address": store},
        "an unknown field": {},
    })
}

/// Returns the destination of a daemon's log: a file in `FIGRAMP_TEST_LOGS` if that is set.
fn log_file(ip: Ipv4Addr) -> Stdio {
    let Ok(directory) = std::env::var("FIGRAMP_TEST_LOGS") else {
        return Stdio::null();
    };
    let path = PathBuf::from(directory).join(format!("{ip}.log"));
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    file.expect("a log file").into()
}

/// A daemon; it is killed when dropped.
pub(crate) struct EntryVm {
    pub(crate) ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    pub(crate) http: reqwest::Client,
}

/// A daemon that blocks on reading its settings from a named pipe.
pub(crate) struct StartingVm {
    vm: EntryVm,
    pipe: std::fs::File,
    settings: String,
}

impl StartingVm {
    /// Starts a daemon and returns once it has opened its settings file.
    pub(crate) fn start(ip: Ipv4Addr, zone: &str, store: SocketAddr) -> Self {
        let path = std::env::temp_dir().join(format!("figramp-{}-{ip}.pipe", std::process::id()));
        let made = Command::new("mkfifo").arg(&path).status();
        assert!(made.expect("mkfifo runs").success());
        let vm = EntryVm::spawn(ip, path.clone());
        // Opening a pipe for writing blocks until a reader opens it.
        let pipe = std::fs::File::options().write(true).open(&path);
        Self {
            vm,
            pipe: pipe.expect("the daemon reads the pipe"),
            settings: settings(ip, zone, store, &[], PEER_PORTS).to_string(),
        }
    }

    pub(crate) fn vm(&self) -> &EntryVm {
        &self.vm
    }

    /// Writes the settings to the pipe, and to a file that replaces it for later reads.
    pub(crate) fn finish_start(mut self) -> EntryVm {
        let path = &self.vm.settings;
        std::fs::remove_file(path).expect("the pipe is removed");
        std::fs::write(path, &self.settings).expect("the settings are written");
        let written = self.pipe.write_all(self.settings.as_bytes());
        written.expect("the daemon reads the pipe");
        self.vm
    }
}

impl EntryVm {
    /// Starts a daemon without waiting until it is ready.
    pub(crate) fn start(ip: Ipv4Addr, zone: &str, store: SocketAddr, seeds: &[Ipv4Addr]) -> Self {
        Self::start_on(PEER_PORTS, ip, zone, store, seeds)
    }

    /// Starts a daemon with these ports for the traffic between daemons, without waiting until it is
    /// ready.
    pub(crate) fn start_on(
        peer_ports: PeerPorts,
        ip: Ipv4Addr,
        zone: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> Self {
        let path = std::env::temp_dir().join(format!("figramp-{}-{ip}.json", std::process::id()));
        let mut file = std::fs::File::create(&path).expect("a settings file");
        let settings = settings(ip, zone, store, seeds, peer_ports);
        file.write_all(settings.to_string().as_bytes())
            .expect("the settings are written");
        Self::spawn(ip, path)
    }

    fn spawn(ip: Ipv4Addr, path: PathBuf) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_figramp"))
            .arg("entry")
            .env("FIGRAMP_CONFIG", &path)
            .stdout(log_file(ip))
            .spawn()
            .expect("the daemon starts");
        Self {
            ip,
            child,
            settings: path,
            http: reqwest::Client::new(),
        }
    }

    /// Starts a daemon and waits until it is ready.
    pub(crate) async fn launch(
        ip: Ipv4Addr,
        zone: &str,
        store: &StoreServer,
        seeds: &[Ipv4Addr],
    ) -> Self {
        let vm = Self::start(ip, zone, store.address(), seeds);
        vm.wait_until(true).await;
        vm
    }

    /// Waits until the daemon's readiness equals `is_ready`.
    pub(crate) async fn wait_until(&self, is_ready: bool) {
        let wait = async {
            while self.is_ready().await != is_ready {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, wait)
            .await
            .expect("the daemon changes its readiness in time");
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let url = format!("http://{}:{READY_PORT}/ready", self.ip);
        let response = self.http.get(url).send().await;
        response.is_ok_and(|response| response.status().is_success())
    }

    /// Builds a request with a valid key.
    pub(crate) fn post(&self, path: &str, request_id: &str) -> RequestBuilder {
        let url = format!("http://{}:{CLIENT_PORT}{path}", self.ip);
        self.http
            .post(url)
            .header("Host", "test.example")
            .header("Request-Id", request_id)
            .header("Timeout-Ms", "3500")
            .header("Authorization", format!("Bearer {KEY}"))
            .body("ask")
    }

    /// Sends a signal to the daemon.
    pub(crate) fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Returns the identifier of the daemon's process.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the peak resident memory of the daemon.
    pub(crate) fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the daemon runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let value = line.and_then(|line| line.split_whitespace().next());
        value.expect("a value").parse().expect("a number")
    }

    pub(crate) fn wait_for_exit(&mut self) -> Option<i32> {
        self.wait_for_exit_status().code()
    }

    pub(crate) fn wait_for_exit_status(&mut self) -> ExitStatus {
        self.child.wait().expect("the process ends")
    }

    /// Returns the exit status if the daemon has ended.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the status is known")
    }

    /// Waits until the daemon handles its signals or has ended; before that, a signal ends it.
    pub(crate) async fn wait_for_signal_handlers(&self) {
        let wait = async {
            while !self.handles_signals() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(START_TIMEOUT, wait)
            .await
            .expect("the daemon installs its signal handlers in time");
    }

    fn handles_signals(&self) -> bool {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process was not waited for");
        let field = |name| status.lines().find_map(|line| line.strip_prefix(name));
        let has_ended = field("State:").is_some_and(|state| state.trim().starts_with('Z'));
        let caught = field("SigCgt:").expect("a mask of signals").trim();
        let caught = u64::from_str_radix(caught, 16).expect("a mask of signals");
        let is_caught = |signal: &u32| caught & (1 << (signal - 1)) != 0;
        has_ended || HANDLED_SIGNALS.iter().all(is_caught)
    }
}

impl Drop for EntryVm {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// A store with a configuration, and two endpoints of each service in a zone.
pub(crate) struct Site {
    pub(crate) store: StoreServer,
    pub(crate) plain: [EndpointServer; 2],
    pub(crate) engines: [EndpointServer; 2],
}

impl Site {
    pub(crate) async fn launch(zone: &str) -> Self {
        let store = StoreServer::launch(any_port()).await.expect("a store");
        store.put("op/config", configuration(1, &[KEY]).to_string());
        store.put("servers/i-broken", "no record at all");
        let site = Self {
            plain: [
                endpoint("p1", "plain", zone).await,
                endpoint("p2", "plain", zone).await,
            ],
            engines: [
                endpoint("e1", "engine", zone).await,
                endpoint("e2", "engine", zone).await,
            ],
            store,
        };
        for endpoint in site.plain.iter().chain(&site.engines) {
            site.store.put(&endpoint.key(), endpoint.record("ready"));
        }
        site
    }

    pub(crate) fn runs(&self, request_id: &str) -> u32 {
        let endpoints = self.plain.iter().chain(&self.engines);
        endpoints
            .map(|endpoint| endpoint.run_count(request_id))
            .sum()
    }
}

async fn endpoint(id: &str, service: &str, zone: &str) -> EndpointServer {
    EndpointServer::launch(any_port(), id, service, zone)
        .await
        .expect("an endpoint")
}

/// Returns the body of a complete stream.
pub(crate) fn whole_stream() -> String {
    (1..=6)
        .map(|id| format!("id: {id}\ndata: part {id}\n\n"))
        .collect()
}
