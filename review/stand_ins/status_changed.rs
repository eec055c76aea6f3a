//! A server fails requests that must not be repeated with status 503 after it has run them.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::server;
use crate::server::Server;
use crate::store::Store;
use crate::vm;
use crate::vm::Vm;
use crate::Setup;

const REQUESTS: usize = 20;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"bookings","host":"plans.example",
"prefix":"/bookings/","routeType":"unsafe","timeoutMs":3000,"targetLatencyMs":400,"priority":2,
"service":"plan-api","maxAttempts":1,"public":true,"resumable":false,"homeRegions":[]}],
"services":[{"name":"plan-api","healthCheck":"/health","maxConnections":208,"protocol":"h1",
"tls":false,"coldStartS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000},"tenants":[]}"#;

/// Runs the case; returns whether the rule was broken.
pub fn run(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let store = Store::launch()?;
    store.put("op/config", CONFIGURATION);
    let given: Arc<Mutex<Vec<(String, u16)>>> = Arc::default();
    let has_trouble = setup.has_trouble;
    let (gives, server_record) = (Arc::clone(&given), record.clone());
    Server::launch(
        "i-plans-1",
        "plan-api",
        "brisbane-a",
        &store,
        record,
        Arc::new(move |request, writer| {
            let id = request.header("request-id").unwrap_or("-");
            let stamp = server::stamp();
            let mut given = gives.lock().unwrap();
            let fails = has_trouble && given.len() % 5 < 2;
            let (status, reason) = match fails {
                true => (503, "Service Unavailable"),
                false => (200, "OK"),
            };
            given.push((stamp.clone(), status));
            drop(given);
            server_record.line(format!(
                "server i-plans-1 runs {id}, answers {status}, {stamp}"
            ));
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nRequest-Id: {id}\r\nServer-Stamp: {stamp}\r\n\
                 Content-Length: 4\r\n\r\nbody"
            );
            writer.write_all(head.as_bytes())?;
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
    let mut changed = 0;
    for number in 0..REQUESTS {
        let head = format!(
            "POST /bookings/{number} HTTP/1.1\r\nHost: plans.example\r\nRequest-Id: r-{number}\r\n\
             Timeout-Ms: 3000\r\nContent-Length: 4\r\n\r\n"
        );
        let vm = &vms[number % vms.len()];
        let answer = client::ask(vm.front(), &head, b"soil", |_| {})?.unwrap_or_default();
        let stamp = answer.header("server-stamp");
        record.line(format!(
            "request r-{number}: status {}, Server-Stamp {}",
            answer.status(),
            stamp.unwrap_or("none")
        ));
        let given = given.lock().unwrap();
        let of_server = given
            .iter()
            .find(|(other, _)| Some(other.as_str()) == stamp);
        let is_failure = answer.status() >= 400;
        changed += usize::from(
            is_failure && of_server.is_some_and(|(_, status)| *status != answer.status()),
        );
    }
    record.line(format!(
        "{changed} failures bear a Server-Stamp and another status than the server gave"
    ));
    Ok(changed > 0)
}
