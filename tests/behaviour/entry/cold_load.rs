//! The load on cold endpoints, and how many requests they got.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointServer;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use super::support::EntryVm;

const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the record of an endpoint that stays cold for this time, in milliseconds.
pub(super) fn cold_record(endpoint: &EndpointServer, cold_ms: u64) -> String {
    let mut record: Value = serde_json::from_str(&endpoint.record("ready")).expect("a record");
    record["coldRemainingMs"] = json!(cold_ms);
    record.to_string()
}

/// Sends streams to the daemons in turn for a time, without waiting for their answers.
pub(super) async fn send_streams(vms: &[Arc<EntryVm>], time: Duration) {
    send_bursts(vms, 1, REQUEST_INTERVAL, time).await;
}

/// Sends bursts of streams to the daemons in turn for a time, without waiting for their answers.
pub(super) async fn send_bursts(
    vms: &[Arc<EntryVm>],
    burst: u32,
    burst_interval: Duration,
    time: Duration,
) {
    let started = Instant::now();
    for vm in vms.iter().cycle() {
        if started.elapsed() >= time {
            break;
        }
        for number in 0..burst {
            let vm = Arc::clone(vm);
            let id = format!("{:?}-{:?}-{number}", started, started.elapsed());
            tokio::spawn(async move {
                if let Ok(answer) = vm.post("/tip-stream/x", &id).send().await {
                    let _ = answer.text().await;
                }
            });
        }
        sleep(burst_interval).await;
    }
}

/// Returns the largest number of requests within one second, of those that arrived in a time.
pub(super) fn most_in_one_second(endpoint: &EndpointServer, time: Range<Instant>) -> usize {
    let arrivals = endpoint.arrivals().into_iter().map(|arrival| arrival.at);
    let times: Vec<Instant> = arrivals.filter(|at| time.contains(at)).collect();
    let in_window = |start: &Instant| {
        let window = *start..*start + Duration::from_secs(1);
        times.iter().filter(|at| window.contains(*at)).count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}
