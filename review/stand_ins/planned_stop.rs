//! A daemon gets SIGTERM while clients read long answers slowly.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::server;
use crate::server::Server;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;
use crate::Setup;

const CLIENTS: usize = 6;

/// The length of an answer: a saved plan with its drawings.
const ANSWER_BYTES: usize = 4_190_000;

/// What a client reads in a second at first, and from [`SLOW_FOR`] on.
const SLOW_BYTES_PER_S: f64 = 100_000.0;
const FAST_BYTES_PER_S: f64 = 4_000_000.0;
const SLOW_FOR: Duration = Duration::from_secs(3);

/// When the daemon gets SIGTERM, after the requests were sent.
const STOP_AFTER: Duration = Duration::from_millis(500);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"plans","host":"plans.example",
"prefix":"/plans/","routeType":"safe","timeoutMs":20000,"targetLatencyMs":400,"priority":2,
"service":"plan-api","maxAttempts":2,"public":true,"resumable":false,"homeRegions":[]}],
"services":[{"name":"plan-api","healthCheck":"/health","maxConnections":208,"protocol":"h1",
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
        record,
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
    let front = vms[0].front();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("r-{index}");
                let head = format!(
                    "GET /plans/{index} HTTP/1.1\r\nHost: plans.example\r\nRequest-Id: {id}\r\n\
                     Timeout-Ms: 20000\r\n\r\n"
                );
                record.line(format!("request {id} is sent"));
                let began_at = Instant::now();
                let answer = client::ask(front, &head, b"", |read| pace(began_at, read));
                let answer = answer.ok().flatten().unwrap_or_default();
                record.line(format!(
                    "request {id}: status {}, {} bytes of the answer, whole: {}",
                    answer.status(),
                    answer.body.len(),
                    answer.is_whole && answer.body.len() == ANSWER_BYTES
                ));
                answer.is_whole && answer.body.len() == ANSWER_BYTES
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    if setup.has_trouble {
        vms[0].signal("TERM")?;
        record.line(format!("{} gets SIGTERM", vms[0].name()));
    }
    while setup.has_trouble && !vms[0].has_ended() && stopped_at.elapsed() < vm::GRACE {
        thread::sleep(Duration::from_millis(10));
    }
    if setup.has_trouble {
        let ended_s = stopped_at.elapsed().as_secs_f64();
        record.line(format!(
            "{} has ended {ended_s:.3} s after SIGTERM",
            vms[0].name()
        ));
    }
    let answers: Vec<bool> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(false))
        .collect();
    let whole = answers.iter().filter(|is_whole| **is_whole).count();
    record.line(format!("{whole} of {CLIENTS} answers arrived whole"));
    Ok(whole < CLIENTS)
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
