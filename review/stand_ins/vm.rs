//! The daemons, as processes of their own.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

/// The time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(8);

/// The port of `metrics` in the deploy file.
const METRICS_PORT: u16 = 9_464;

const FRONT_PORT: u16 = 8_221;
const READY_PORT: u16 = 8_224;
const CONTROL_PORT: u16 = 8_229;
const DIRECTORY_PORT: u16 = 8_220;
const GOSSIP_PORT: u16 = 7_600;

/// The longest time until a daemon is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The memory of a process, in MB.
pub const MEMORY_MB: u64 = 182;

/// The processes that were started and not yet waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that are left, by their identifiers.
pub fn kill_all() {
    for pid in STARTED
        .lock()
        .map(|started| started.clone())
        .unwrap_or_default()
    {
        let _ = send_signal("KILL", pid);
    }
}

/// Sends a signal by the `kill` of the shell, as a machine may have no program of that name.
fn send_signal(signal: &str, pid: u32) -> io::Result<()> {
    let command = format!("kill -s {signal} {pid}");
    let status = Command::new("sh").args(["-c", &command]).status()?;
    match status.success() {
        true => Ok(()),
        false => Err(io::Error::other(format!("{command} failed"))),
    }
}

fn forget(pid: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|other| *other != pid);
    }
}

/// A daemon; it is killed when it is dropped.
pub struct Vm {
    name: String,
    ip: String,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// Returns so many loopback addresses on which the ports of a daemon are free.
pub fn free_ips(count: usize) -> Vec<String> {
    let seed = std::process::id();
    let candidates = (0..200_u32).map(|index| {
        let number = seed.wrapping_mul(131).wrapping_add(index * 7);
        format!(
            "127.{}.{}.{}",
            20 + number % 200,
            number / 200 % 250,
            1 + index
        )
    });
    let ports = [
        METRICS_PORT,
        FRONT_PORT,
        READY_PORT,
        CONTROL_PORT,
        DIRECTORY_PORT,
    ];
    let is_free = |ip: &String| {
        let mut ports = ports.iter();
        ports.all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
    };
    candidates.filter(is_free).take(count).collect()
}

impl Vm {
    /// Starts the daemon with settings like those of a small deployment.
    pub fn launch(
        name: &str,
        ip: &str,
        seeds: &[String],
        store: &Store,
        folder: &Path,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, settings_text(name, ip, seeds, store))?;
        let log = folder.join(format!("{name}.log"));
        let child = start(&settings, &log)?;
        let vm = Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            settings,
            log,
            child,
        };
        vm.wait_until_ready()?;
        Ok(vm)
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = start(&self.settings, &self.log)?;
        self.wait_until_ready()
    }

    /// Waits until the readiness check is answered with 200.
    fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        while Instant::now() < deadline {
            if self.is_ready().unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// Returns whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> io::Result<bool> {
        let mut stream = TcpStream::connect((self.ip.as_str(), READY_PORT))?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let answer = http::read_head(&mut BufReader::new(stream))?;
        Ok(answer.is_some_and(|answer| answer.status() == 200))
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address for clients.
    pub fn front(&self) -> SocketAddr {
        let address = format!("{}:{FRONT_PORT}", self.ip);
        address.parse().expect("an address and a port")
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        send_signal(signal, self.child.id())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            forget(self.child.id());
        }
        has_ended
    }

    /// Returns the memory that the process uses; zero if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

fn start(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)?;
    let child = Command::new("target/release/figramp")
        .arg("entry")
        .env("FIGRAMP_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    if let Ok(mut started) = STARTED.lock() {
        started.push(child.id());
    }
    Ok(child)
}

fn settings_text(name: &str, ip: &str, seeds: &[String], store: &Store) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
        .collect();
    let (seeds, store) = (seeds.join(","), store.address());
    let (grace_s, last_port) = (GRACE.as_secs(), GOSSIP_PORT + 15);
    format!(
        r#"{{
  "node": "{name}", "role": "entry", "machineClass": "front",
  "serves": ["front", "control", "directory"],
  "ip": "{ip}", "zone": "brisbane-a", "region": "brisbane",
  "zones": {{"brisbane-a": "brisbane"}},
  "listen": {{"front": "{ip}:{FRONT_PORT}", "ready": "{ip}:{READY_PORT}",
    "control": "{ip}:{CONTROL_PORT}", "directory": "{ip}:{DIRECTORY_PORT}"}},
  "portRange": [{GOSSIP_PORT}, {last_port}],
  "seeds": [{seeds}],
  "bootstrap": true, "inTolerance": false,
  "limits": {{"cpuShare": 0.17, "cores": 1, "memoryMb": {MEMORY_MB}, "maxFds": 2870,
    "linkMbps": 700.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "directory", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places",
    "tenants", "quota", "platform"],
  "tolerate": {{"machines": 2, "zones": 1, "regions": 1}},
  "bounds": {{"seedLagS": 3, "reuseDelayS": 2, "stableWindowMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": {grace_s}, "lossSlackMs": 200, "configDeadlineMs": 3000,
    "rollbackSlackMs": 250, "maxStretchMs": 8000, "strictRevoke": true, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 113, "quotaWindowS": 8,
    "quotaOverage": 0.25, "quotaSlack": 190000, "coldOverage": 1.5, "coldSlack": 3,
    "evacuationMs": 5000, "recoveryS": 12, "passMs": 600, "reuseWindowS": 10, "ttl_max_s": 5}},
  "platform": {{"address": "{store}", "form": "read", "writesPerS": 400, "readsPerS": 2000,
    "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
}}
"#
    )
}
