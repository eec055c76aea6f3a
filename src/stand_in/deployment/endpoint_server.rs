//! A stand-in for an endpoint that registers in the platform's store.

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde_json::json;
use serde_json::Value;
use tokio::time::sleep;

use super::answer_body::empty;
use super::answer_body::empty_for;
use super::answer_body::event;
use super::answer_body::event_stream;
use super::answer_body::plain_body;
use super::answer_body::whole_body;
use super::answer_body::AnswerBody;
use super::crashing_answer::crash_after;
use super::crashing_answer::crashing_body;
use super::crashing_answer::crashing_stream;
use super::crashing_request::CrashPoint;
use super::endpoint_state::EndpointState;
use super::http_listener;
use super::Arrival;
use super::EndpointFaults;
use super::Work;

/// Requests whose path contains this are answered with a stream.
const STREAM_PATH: &str = "stream";

/// The path of its report, which takes no slot.
const REPORT_PATH: &str = "/report";

/// An endpoint that counts how often it ran each request.
#[derive(Debug)]
pub struct EndpointServer {
    zone: String,
    service: String,
    address: SocketAddr,
    state: Arc<Mutex<EndpointState>>,
}

impl EndpointServer {
    /// Starts an endpoint of a service in a zone.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn launch(
        address: SocketAddr,
        id: &str,
        service: &str,
        zone: &str,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(EndpointState::default()));
        let address = start(&state, address, id).await?;
        Ok(Self {
            zone: zone.to_owned(),
            service: service.to_owned(),
            address,
            state,
        })
    }

    /// Closes the listening socket and all connections, as the end of the process does.
    pub fn crash(&self) {
        self.state.lock().process.crash();
    }

    /// Starts again at the same address after a crash. Under the identifier that it had, it is another
    /// instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn restart(&self, id: &str) -> io::Result<()> {
        start(&self.state, self.address, id).await?;
        Ok(())
    }

    /// Returns whether it has not crashed since its last start.
    pub fn is_running(&self) -> bool {
        self.state.lock().process.is_running()
    }

    /// Returns the times of its crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().process.crashes().to_vec()
    }

    /// Returns the times at which it received the requests whose prompt crashes it.
    pub fn crashing_arrivals(&self) -> Vec<Instant> {
        self.state.lock().crashing_arrivals.clone()
    }

    /// Returns the times at which it received the requests that crash it whatever their prompt.
    pub fn crashing_request_arrivals(&self) -> Vec<Instant> {
        self.state.lock().crashing_request_arrivals.clone()
    }

    /// Returns the key under which the endpoint registers.
    pub fn key(&self) -> String {
        format!("servers/{}", self.state.lock().process.id)
    }

    /// Returns the record to register in the store, with the address that the endpoint is bound to.
    pub fn record(&self, state: &str) -> String {
        self.record_at(self.address, state)
    }

    /// Returns the address that it is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record to register in the store, with another address, such as that of a proxy.
    pub fn record_at(&self, address: SocketAddr, state: &str) -> String {
        let mut state_now = self.state.lock();
        state_now.sequence += 1;
        let sequence = state_now.sequence;
        let born = state_now.born_unix_ms();
        let version = state_now.recorded_version();
        drop(state_now);
        json!({
            "service": self.service,
            "address": address,
            "zone": self.zone,
            "version": version,
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": sequence,
            "born": born,
        })
        .to_string()
    }

    /// Replaces the simulated faults.
    pub fn set_faults(&self, faults: EndpointFaults) {
        self.state.lock().faults = faults;
    }

    /// Closes one connection without notice, after the answer in progress on it.
    pub fn close_connection(&self) {
        self.state.lock().connection_ends.closing.notify_one();
    }

    /// Closes new connections without notice once they were idle for a time.
    pub fn set_idle_timeout(&self, timeout: Duration) {
        *self.state.lock().connection_ends.idle_timeout.lock() = Some(timeout);
    }

    /// Sends no byte for a time; requests are accepted and run meanwhile.
    pub fn fall_silent(&self, duration: Duration) {
        self.state.lock().silence.begin(duration);
    }

    /// Sets the version of the software, which its events name from now on.
    pub fn set_version(&self, version: &str) {
        self.state.lock().version = Some(version.to_owned());
    }

    /// Puts another value in place of the version in the records.
    pub fn set_odd_version(&self, value: Value) {
        self.state.lock().odd_version = Some(value);
    }

    /// Puts another instance in place of the endpoint; its records say so from now on.
    pub fn replace(&self) {
        self.state.lock().replaced_count += 1;
    }

    /// Returns how often a request ran.
    pub fn run_count(&self, request_id: &str) -> u32 {
        let state = self.state.lock();
        state.runs.get(request_id).copied().unwrap_or(0)
    }

    /// Returns how often all requests together ran.
    pub fn total_run_count(&self) -> u32 {
        self.state.lock().runs.values().sum()
    }

    /// Returns the number of requests received, including those that were refused.
    pub fn arrival_count(&self) -> u32 {
        u32::try_from(self.state.lock().arrivals.len()).unwrap_or(u32::MAX)
    }

    /// Returns the requests received, including those that were refused.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().arrivals.clone()
    }

    /// Returns how often it was asked for its report.
    pub fn report_count(&self) -> usize {
        self.state.lock().report_count
    }

    /// Returns the times at which it refused requests for want of room.
    pub fn refusals(&self) -> Vec<Instant> {
        self.state.lock().refusals.clone()
    }

    /// Returns the number of answers in progress.
    pub fn running_count(&self) -> usize {
        self.state.lock().work_log.running_count()
    }

    /// Returns its work on all requests so far, in the order of its beginning.
    pub fn works(&self) -> Vec<Work> {
        self.state.lock().work_log.works()
    }

    /// Returns a header of the last request received for this endpoint.
    pub fn last_header(&self, name: &str) -> Option<String> {
        let state = self.state.lock();
        let value = state.last_headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    }
}

impl Drop for EndpointServer {
    fn drop(&mut self) {
        self.state.lock().process.stop();
    }
}

async fn start(
    state: &Arc<Mutex<EndpointState>>,
    address: SocketAddr,
    id: &str,
) -> io::Result<SocketAddr> {
    let (served, instance_id) = (Arc::clone(state), id.to_owned());
    let ends = Arc::clone(&state.lock().connection_ends);
    let (address, task) = http_listener::serve_ending(address, ends, move |request| {
        answer(Arc::clone(&served), instance_id.clone(), request)
    })
    .await?;
    state.lock().start(id, task);
    Ok(address)
}

async fn answer(
    state: Arc<Mutex<EndpointState>>,
    instance_id: String,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(empty(StatusCode::BAD_REQUEST));
    };
    let body = body.to_bytes();
    if parts.uri.path() == REPORT_PATH {
        let (silence, report) = {
            let mut state = state.lock();
            let arrival = state.arrival("");
            state.arrivals.push(arrival);
            state.report_count += 1;
            (Arc::clone(&state.silence), state.report())
        };
        silence.wait().await;
        return Ok(Response::new(whole_body(report)));
    }
    let header = |name: &str| {
        let value = parts.headers.get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let expected = header("expect-instance");
    let request_id = header("request-id").unwrap_or_default();
    if expected.is_some_and(|expected| expected != instance_id) {
        return Ok(empty_for(&request_id, StatusCode::MISDIRECTED_REQUEST));
    }
    let prompt_parts = header("prefix-hash").unwrap_or_default();
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let is_stream = parts.uri.path().contains(STREAM_PATH);
    let (faults, crashes, crash_point, silence, running, version, load) = {
        let mut state = state.lock();
        state.last_headers.clone_from(&parts.headers);
        let arrival = state.arrival(&request_id);
        state.arrivals.push(arrival);
        let crashes = state.faults.crashes_under(&prompt_parts);
        if crashes {
            state.crashing_arrivals.push(Instant::now());
        }
        let crashes_at = state.faults.crashes_at(path, &body);
        if crashes_at {
            state.crashing_request_arrivals.push(Instant::now());
        }
        let running_count = state.work_log.running_count();
        let has_room = state.faults.room.is_none_or(|room| running_count < room);
        if state.faults.is_full || !has_room {
            state.refusals.push(Instant::now());
            return Ok(refusal(&request_id, &state.faults));
        }
        let crash_point = crashes_at.then(|| state.next_crash_point(is_stream));
        *state.runs.entry(request_id.clone()).or_insert(0) += 1;
        let silence = Arc::clone(&state.silence);
        let running = state.work_log.begin(&request_id);
        let (mut faults, version) = (state.faults.clone(), state.version.clone());
        faults.truncated_event = faults.last_event(state.arrivals.len());
        let load = state.load();
        (
            faults,
            crashes,
            crash_point,
            silence,
            running,
            version,
            load,
        )
    };
    if crash_point == Some(CrashPoint::Head) {
        crash_after(&state, faults.pause).await;
        // The end of the process drops this task.
        pending::<()>().await;
    }
    let first_event = header("last-event-id")
        .and_then(|last| last.parse::<u64>().ok())
        .map_or(1, |last| last + 1);
    sleep(faults.head_delay).await;
    silence.wait().await;
    let body = match is_stream {
        _ if faults.failure_status.is_some() => plain_body(silence, &faults, running),
        _ if crash_point.is_some() => {
            let has_event = crash_point == Some(CrashPoint::FirstEvent);
            let sent = has_event.then(|| event(first_event, version.as_deref()));
            crashing_body(state, sent, faults.pause, running)
        }
        true if crashes => crashing_stream(state, faults.pause, running),
        true => event_stream(silence, first_event, &faults, version, running),
        false => plain_body(silence, &faults, running),
    };
    let mut response = Response::new(body);
    let answer_id = match faults.mislabels_answers {
        true => "another".to_owned(),
        false => request_id,
    };
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer_id) {
        headers.insert("request-id", value);
    }
    headers.insert("server-stamp", HeaderValue::from_static("stamp"));
    headers.insert("server-load", load);
    announce_notices(&faults, headers);
    if let Some(status) = faults.failure_status {
        announce_pause(&faults, headers);
        *response.status_mut() = status;
    }
    Ok(response)
}

fn refusal(request_id: &str, faults: &EndpointFaults) -> Response<AnswerBody> {
    let mut response = empty_for(request_id, StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert("not-executed", HeaderValue::from_static("1"));
    announce_pause(faults, headers);
    announce_notices(faults, headers);
    response
}

fn announce_pause(faults: &EndpointFaults, headers: &mut HeaderMap) {
    if let Some(value) = &faults.retry_after {
        headers.insert("retry-after", value.clone());
    }
}

fn announce_notices(faults: &EndpointFaults, headers: &mut HeaderMap) {
    if let Some(value) = &faults.rate_limit {
        headers.insert("server-limit", value.clone());
    }
    if let Some(value) = &faults.brittle {
        headers.insert("server-brittle", value.clone());
    }
    if faults.is_leaving {
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
}
