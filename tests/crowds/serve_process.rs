//! A daemon of `figramp serve`, and stand-ins of its engine and its platform in this process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use figramp::demo::raw_ticket;
use figramp::stand_in::engine::EngineOptions;
use figramp::stand_in::engine::EngineServer;
use figramp::stand_in::platform::PlatformStandIn;
use reqwest::Client;
use serde_json::json;
use serde_json::Value;

use super::sockets::peak_memory_kb;

/// The memory of the smallest VM.
const MEMORY_MB: u64 = 112;

const SERVED_WAIT: Duration = Duration::from_secs(60);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// A daemon; it is killed when dropped.
pub(crate) struct ServeProcess {
    child: Child,
    pub(crate) caller: SocketAddr,
    pub(crate) operator: SocketAddr,
    folder: PathBuf,
    _engine: EngineServer,
    _platform: PlatformStandIn,
}

impl ServeProcess {
    /// Starts a daemon and waits until it serves.
    pub(crate) async fn launch() -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandIn::start(any_port).await;
        let platform = platform.expect("the platform starts");
        let engine = EngineServer::launch(EngineOptions::default()).await;
        let engine = engine.expect("the engine starts");
        platform.publish(raw_ticket(1, objects(engine.address())));
        let process_id = std::process::id();
        let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
        let second = 16 + (process_id >> 8) as u8 % 16;
        let address = |port| SocketAddr::from(([127, second, process_id as u8, number], port));
        let folder = std::env::temp_dir().join(format!("figramp-crowds-{process_id}-{number}"));
        fs::create_dir_all(&folder).expect("the folder is created");
        let secret = folder.join("secret");
        fs::write(&secret, "a secret of this test and no other").expect("a secret");
        let settings = folder.join("settings.toml");
        let text = format!(
            "[vm]\nname = \"one\"\nregion = \"here\"\navailability_zone = \"here-a\"\n\
             caller_address = \"{}\"\npeer_address = \"{}\"\noperator_address = \"{}\"\n\
             [platform]\naddress = \"{}\"\n[peers]\nsecret_file = {secret:?}\n",
            address(7100),
            address(7200),
            address(7300),
            platform.address(),
        );
        fs::write(&settings, text).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_figramp"))
            .args(["serve", "--settings"])
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        let mut process = Self {
            child: child.expect("the daemon starts"),
            caller: address(7100),
            operator: address(7300),
            folder,
            _engine: engine,
            _platform: platform,
        };
        process.check_serves().await;
        process
    }

    /// Checks that the process lives within its memory and answers an ordinary request.
    pub(crate) async fn check_bounds(&mut self) {
        self.check_serves().await;
        let memory_kb = peak_memory_kb(self.child.id());
        println!("peak {memory_kb} KB");
        assert!(
            memory_kb <= MEMORY_MB * 1_024,
            "peak of {memory_kb} KB, {MEMORY_MB} MB allowed"
        );
    }

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
        let url = format!("http://{}/v1/chat/completions", self.caller);
        let body = json!({
            "model": "plan-reviews", "stream": true, "max_tokens": 1,
            "messages": [{"role": "user", "content": "Review this bed"}],
        });
        let answer = Client::new().post(url).json(&body).send().await;
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for ServeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn objects(engine: SocketAddr) -> Vec<Value> {
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
