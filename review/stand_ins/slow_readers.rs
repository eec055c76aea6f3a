//! Many clients at once read long answers slowly; the platform kills a process over its memory.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::record::Record;
use crate::server;
use crate::server::Server;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;
use crate::Setup;

/// The clients of each daemon that ask in one wave, and by how much a burst multiplies them.
const CLIENTS_PER_VM: usize = 32;
const BURST_PERCENT: usize = 270;

const WAVES: u32 = 4;
const WAVE_PERIOD: Duration = Duration::from_secs(10);

/// The time between two clients of a wave.
const CLIENT_PAUSE: Duration = Duration::from_millis(25);

/// The length of an answer.
const ANSWER_BYTES: usize = 4_190_000;

/// What a client reads in a second at first, and from [`SLOW_FOR`] on.
const SLOW_BYTES_PER_S: f64 = 100_000.0;
const FAST_BYTES_PER_S: f64 = 1_000_000.0;
const SLOW_FOR: Duration = Duration::from_secs(3);

/// How often the platform looks at the memory of a process.
const MEMORY_CHECK: Duration = Duration::from_millis(5);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"plans","host":"plans.example",
"prefix":"/plans/","routeType":"safe","timeoutMs":12000,"targetLatencyMs":400,"priority":2,
"service":"plan-api","maxAttempts":2,"public":true,"resumable":false,"homeRegions":[]}],
"services":[{"name":"plan-api","healthCheck":"/health","maxConnections":780,"protocol":"h1",
"tls":false,"coldStartS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[]}"#;

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let store = Store::launch()?;
    store.put("op/config", CONFIGURATION);
    Server::launch(
        "i-plans-1",
        "plan-api",
        "brisbane-a",
        &store,
        &Record::silent(),
        Arc::new(|request, writer| {
            let id = request.header("request-id").unwrap_or("-");
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}\r\n\
                 Content-Length: {ANSWER_BYTES}\r\n\r\n",
                server::stamp()
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(&vec![b'p'; ANSWER_BYTES])?;
            Ok(true)
        }),
    )?;
    let ips = vm::free_ips(2);
    let mut vms = Vec::new();
    for (index, ip) in ips.iter().enumerate() {
        let name = format!("front-brisbane-a-{}", index + 1);
        vms.push(Vm::launch(&name, ip, &ips, &store, &setup.folder)?);
    }
    thread::sleep(Duration::from_secs(6));
    let count = match setup.has_trouble {
        true => CLIENTS_PER_VM * BURST_PERCENT / 100,
        false => CLIENTS_PER_VM,
    };
    let mut ends = vec![0; vms.len()];
    let mut peaks = vec![0; vms.len()];
    for wave in 0..WAVES {
        let ends_at = Instant::now() + WAVE_PERIOD;
        record.line(format!("{count} clients ask each daemon"));
        for vm in &vms {
            let (front, name) = (vm.front(), format!("{}-{wave}", vm.name()));
            let record = record.clone();
            thread::spawn(move || send(front, &name, &record, count));
        }
        while Instant::now() < ends_at {
            thread::sleep(MEMORY_CHECK);
            for (index, vm) in vms.iter_mut().enumerate() {
                let memory_kb = vm.memory_kb();
                peaks[index] = memory_kb.max(peaks[index]);
                if memory_kb > vm::MEMORY_MB * 1024 {
                    record.line(format!(
                        "{} uses {memory_kb} KB, is killed and started again",
                        vm.name()
                    ));
                    vm.kill();
                    ends[index] += 1;
                    vm.restart()?;
                }
            }
        }
    }
    record.line(format!("ends {ends:?}, peaks {peaks:?} KB"));
    Ok(ends.iter().filter(|count| **count >= 3).count() >= 2)
}

fn send(front: SocketAddr, name: &str, record: &Record, count: usize) {
    for number in 0..count {
        let (id, record) = (format!("{name}-{number}"), record.clone());
        thread::spawn(move || {
            let head = format!(
                "GET /plans/{number} HTTP/1.1\r\nHost: plans.example\r\nRequest-Id: {id}\r\n\
                 Timeout-Ms: 12000\r\n\r\n"
            );
            let began_at = Instant::now();
            let answer = client::ask(front, &head, b"", |read| pace(began_at, read));
            let answer = answer.ok().flatten().unwrap_or_default();
            record.line(format!(
                "request {id}: status {}, {} bytes, whole: {}",
                answer.status(),
                answer.body.len(),
                answer.is_whole
            ));
        });
        thread::sleep(CLIENT_PAUSE);
    }
}

/// Waits until a client that has read so many bytes reads on.
fn pace(began_at: Instant, read: usize) {
    let slow_bytes = SLOW_BYTES_PER_S * SLOW_FOR.as_secs_f64();
    let read = read as f64;
    let due_s = match read < slow_bytes {
        true => read / SLOW_BYTES_PER_S,
        false => SLOW_FOR.as_secs_f64() + (read - slow_bytes) / FAST_BYTES_PER_S,
    };
    let due = Duration::from_secs_f64(due_s);
    thread::sleep(due.saturating_sub(began_at.elapsed()));
}
