//! A daemon in a separate process that is terminated, killed or stopped for a while.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use figramp::demo::raw_ticket;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use figramp::stand_in::platform::PlatformStandIn;
use parking_lot::Mutex;
use reqwest::Client;
use reqwest::Response;
use serde_json::json;

use super::support::stream_body;
use super::support::streamed_text;

/// Longer than the longest pause that a daemon ignores.
const PAUSE: Duration = Duration::from_secs(6);
const POLL: Duration = Duration::from_millis(20);
const SERVING_MAX: Duration = Duration::from_secs(30);

/// A daemon in a separate process, with stand-ins of the engine and the platform in this one.
struct Process {
    child: Child,
    caller: SocketAddr,
    operator: SocketAddr,
    settings: PathBuf,
    _engine: EngineServer,
    _platform: PlatformStandIn,
}

impl Process {
    /// Starts a daemon on a loopback address that no other test uses.
    async fn start(test: u8) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandIn::start(any_port)
            .await
            .expect("the stand-in starts");
        let engine = EngineServer::launch(EngineOptions::default()).await;
        let engine = engine.expect("the engine starts");
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let address = |port| SocketAddr::from(([127, high.max(1), low, test], port));
        platform.publish(raw_ticket(1, objects(engine.address())));
        let folder = std::env::temp_dir().join(format!("figramp-{high}-{low}-{test}"));
        fs::create_dir_all(&folder).expect("the folder is created");
        fs::write(folder.join("secret"), "a secret of this test and no other")
            .expect("the secret is written");
        let settings = folder.join("settings.toml");
        let text = format!(
            "[vm]\nname = \"one\"\nregion = \"here\"\navailability_zone = \"here-a\"\n\
             caller_address = \"{}\"\npeer_address = \"{}\"\noperator_address = \"{}\"\n\
             [platform]\naddress = \"{}\"\n[peers]\nsecret_file = {:?}\n",
            address(7100),
            address(7200),
            address(7300),
            platform.address(),
            folder.join("secret"),
        );
        fs::write(&settings, text).expect("the settings are written");
        let mut process = Self {
            child: spawn(&settings),
            caller: address(7100),
            operator: address(7300),
            settings,
            _engine: engine,
            _platform: platform,
        };
        process.wait_until_serving("its start").await;
        process
    }

    async fn post(&self, body: &str) -> Result<Response, reqwest::Error> {
        let url = format!("http://{}/v1/chat/completions", self.caller);
        let request = Client::new().post(url).body(body.to_owned());
        request
            .header("content-type", "application/json")
            .send()
            .await
    }

    /// Sends requests, one after the other, until one is answered with success.
    async fn wait_until_serving(&mut self, after: &str) {
        let (body, _) = stream_body(1);
        let attempts = Mutex::new(Attempts::default());
        let serving = async {
            loop {
                attempts.lock().begin();
                let answer = self.post(&body).await;
                if matches!(&answer, Ok(response) if response.status() == 200) {
                    return;
                }
                let text = match answer {
                    Ok(response) => format!("{}: {:?}", response.status(), response.text().await),
                    Err(error) => format!("{error:?}"),
                };
                attempts.lock().end(text);
                tokio::time::sleep(POLL).await;
            }
        };
        if tokio::time::timeout(SERVING_MAX, serving).await.is_ok() {
            return;
        }
        panic!(
            "the daemon does not serve within {SERVING_MAX:?} of {after}: {}, exit status {:?}, \
             log:\n{}",
            attempts.lock(),
            self.child.try_wait(),
            fs::read_to_string(log_path(&self.settings)).unwrap_or_default(),
        );
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    async fn audit(&self) -> String {
        let url = format!("http://{}/v1/audit", self.operator);
        reqwest::get(url).await.unwrap().text().await.unwrap()
    }
}

/// The requests of a wait, described if it fails.
#[derive(Default)]
struct Attempts {
    count: u32,
    /// The start of the request that is not answered yet.
    pending_since: Option<Instant>,
    last_answer: String,
}

impl Attempts {
    fn begin(&mut self) {
        self.count += 1;
        self.pending_since = Some(Instant::now());
    }

    fn end(&mut self, answer: String) {
        self.pending_since = None;
        self.last_answer = answer;
    }
}

impl fmt::Display for Attempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let pending = self.pending_since.map(|since| since.elapsed());
        let (count, last) = (self.count, &self.last_answer);
        write!(
            f,
            "{count} requests, one pending for {pending:?}, last answer {last}"
        )
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let folder = self
            .settings
            .parent()
            .expect("the settings file is in a folder");
        let _ = fs::remove_dir_all(folder);
    }
}

fn log_path(settings: &Path) -> PathBuf {
    settings.with_file_name("log")
}

fn spawn(settings: &Path) -> Child {
    let log = fs::File::options()
        .create(true)
        .append(true)
        .open(log_path(settings));
    Command::new(env!("CARGO_BIN_EXE_figramp"))
        .args(["serve", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(log.expect("the log is created"))
        .spawn()
        .expect("the program starts")
}

fn objects(engine: SocketAddr) -> Vec<serde_json::Value> {
    vec![
        json!({"kind": "region", "name": "here",
            "value": {"availability_zones": ["here-a"], "links": []}}),
        json!({"kind": "route", "name": "plan-reviews", "value": {
            "kind": "model", "is_open": true, "class": "long", "repeatability": "idempotent",
            "deadline_ms": 60_000, "first_event_timeout_ms": 5_000,
            "silence_timeout_ms": 5_000, "answer_max_tokens": 4_096}}),
        json!({"kind": "endpoint", "name": "engine", "value": {
            "kind": "engine", "address": engine, "region": "here",
            "availability_zone": "here-a", "routes": ["plan-reviews"], "state": "active",
            "concurrency": 16, "checks_fencing": true}}),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_daemon_finishes_its_answers_and_exits_with_success() {
    let mut process = Process::start(1).await;
    let (body, answer) = stream_body(1_500);
    let running = process.post(&body).await.expect("the answer begins");
    process.signal("-TERM");
    let text = running
        .text()
        .await
        .expect("the answer ends without an error");
    assert_eq!(streamed_text(&text), (answer, true));
    let status = tokio::task::block_in_place(|| process.child.wait());
    assert!(status.expect("the process ends").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_truncates_answers_and_its_successor_serves() {
    let mut process = Process::start(2).await;
    let (body, _) = stream_body(4_000);
    let running = process.post(&body).await.expect("the answer begins");
    process.signal("-KILL");
    assert!(
        running.text().await.is_err(),
        "the truncated answer ended without an error"
    );
    process.child.wait().expect("the process ends");
    process.child = spawn(&process.settings);
    process.wait_until_serving("its start").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_daemon_notices_its_pause_and_serves_again() {
    let mut process = Process::start(3).await;
    process.signal("-STOP");
    tokio::time::sleep(PAUSE).await;
    process.signal("-CONT");
    process.wait_until_serving("its pause").await;
    while !process.audit().await.contains("paused") {
        tokio::time::sleep(POLL).await;
    }
}
