//! The state of an endpoint stand-in.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderValue;
use serde_json::json;
use serde_json::Value;
use tokio::task::JoinHandle;

use super::crashing_request::CrashPoint;
use super::endpoint_process::EndpointProcess;
use super::http_listener::ConnectionEnds;
use super::silence::Silence;
use super::work_log::WorkLog;
use super::Arrival;
use super::EndpointFaults;

/// The software version of endpoints that were given none.
const USUAL_VERSION: &str = "v1";

/// The time at which the first instance of an endpoint started.
const FIRST_BORN_UNIX_MS: u64 = 1_000;

/// What an endpoint does, and what it has recorded.
#[derive(Debug, Default)]
pub(super) struct EndpointState {
    pub(super) process: EndpointProcess,
    pub(super) faults: EndpointFaults,
    pub(super) runs: HashMap<String, u32>,
    pub(super) arrivals: Vec<Arrival>,
    pub(super) refusals: Vec<Instant>,
    pub(super) crashing_arrivals: Vec<Instant>,
    pub(super) crashing_request_arrivals: Vec<Instant>,
    pub(super) work_log: Arc<WorkLog>,
    pub(super) last_headers: HeaderMap,
    pub(super) sequence: u64,
    pub(super) replaced_count: u64,
    /// The number of replaced instances when the present process started; `None` before the first start.
    replaced_count_at_start: Option<u64>,
    pub(super) report_count: usize,
    pub(super) silence: Arc<Silence>,
    pub(super) connection_ends: Arc<ConnectionEnds>,
    /// The version of the software; `None` for the usual one, which events do not name.
    pub(super) version: Option<String>,
    /// What stands in the record in place of the version.
    pub(super) odd_version: Option<Value>,
}

impl EndpointState {
    /// Starts a process; under the identifier of the one before, it is another instance.
    pub(super) fn start(&mut self, id: &str, task: JoinHandle<()>) {
        let is_same = self.replaced_count_at_start == Some(self.replaced_count);
        if is_same && self.process.id == id {
            self.replaced_count += 1;
        }
        self.replaced_count_at_start = Some(self.replaced_count);
        self.process.start(id, task);
    }

    /// Returns when the present instance started.
    pub(super) const fn born_unix_ms(&self) -> u64 {
        FIRST_BORN_UNIX_MS + self.replaced_count
    }

    /// Returns its report.
    pub(super) fn report(&self) -> String {
        if let Some(report) = &self.faults.report {
            return report.clone();
        }
        json!({"stage": "prefill_decode", "queued": 0, "born": self.born_unix_ms()}).to_string()
    }

    /// Returns where the next crash under a request comes.
    pub(super) fn next_crash_point(&self, is_stream: bool) -> CrashPoint {
        let points: &[CrashPoint] = match is_stream {
            true => &CrashPoint::OF_STREAMS,
            false => &CrashPoint::OF_PLAIN_ANSWERS,
        };
        points[self.process.crashes().len() % points.len()]
    }

    /// Returns the version that the records name.
    pub(super) fn recorded_version(&self) -> Value {
        let version = self.version.as_deref().unwrap_or(USUAL_VERSION);
        self.odd_version.clone().unwrap_or_else(|| json!(version))
    }

    /// Returns the running requests, the waiting ones and the slots, as answers report them.
    pub(super) fn load(&self) -> HeaderValue {
        let running_count = match self.faults.reports_load {
            true => self.work_log.running_count(),
            false => 1,
        };
        let load = format!("{running_count},0,8");
        HeaderValue::try_from(load).expect("digits and commas")
    }

    /// Describes a request that arrives now.
    pub(super) fn arrival(&self, request_id: &str) -> Arrival {
        let retry_after = self.faults.retry_after.as_ref();
        let retry_after_s = retry_after
            .filter(|_| self.faults.is_full)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        Arrival {
            request_id: request_id.to_owned(),
            at: Instant::now(),
            replaced_count: self.replaced_count,
            is_leaving: self.faults.is_leaving,
            rate_per_s: self.faults.rate_per_s(),
            retry_after: retry_after_s.and_then(|value| Duration::try_from_secs_f64(value).ok()),
        }
    }
}
