//! The HTTP client for endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use reqwest::header::CONTENT_TYPE;
use reqwest::header::RETRY_AFTER;
use reqwest::Body;
use reqwest::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;

use super::attempt_names::AttemptNames;
use super::call_guard::send_cancel;
use super::call_guard::CallGuard;
use super::connection_pools::ConnectionPools;
use super::engine_answer::EngineAnswer;
use super::service_answer::ServiceAnswer;
use super::time_limits::TimeLimits;
use super::transport_errors;
use super::upload::Upload;
use super::AnswerBudget;
use super::AnswerChecker;
use super::EndpointCall;
use super::EndpointClient;
use super::EndpointOrder;
use super::FencedWire;
use super::LoadReport;
use super::LoadReportWire;
use super::OrderOutcome;
use super::OrderWire;
use super::ANSWER_MAX_TOKENS_HEADER;
use super::ATTEMPT_HEADER;
use super::PRIORITY_HEADER;
use super::REQUEST_ID_HEADER;
use super::RESUME_OFFSET_HEADER;
use super::RUN_STATE_HEADER;
use crate::catalog::Endpoint;
use crate::catalog::TicketNumber;
use crate::catalog::WorkClass;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::request::AnswerStream;
use crate::request::CallBody;
use crate::request::CompletionCall;
use crate::request::RequestId;
use crate::request::ServiceCall;

/// The longest time to wait for the response to a load request or an order.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest event: many times those of a model's answer.
const EVENT_MAX_BYTES: usize = 256 * 1024;

/// The memory for events of which a part has arrived.
const EVENTS_MAX_BYTES: usize = 32 * 1024 * 1024;

/// The longest response to a load request or an order.
const EXCHANGE_MAX_BYTES: usize = 4 * 1024 * 1024;

const JSON_TYPE: &str = "application/json";

/// The connection that a call is sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    /// One from the pool, on which answers of earlier calls may be outstanding.
    Kept,
    /// A new one, for this call alone.
    New,
}

/// Sends calls, cancellations, load requests and orders over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEndpointClient {
    pools: Arc<ConnectionPools>,
    names: Arc<AttemptNames>,
    events: AnswerBudget,
}

impl Default for HttpEndpointClient {
    fn default() -> Self {
        Self {
            pools: Arc::default(),
            names: Arc::default(),
            events: AnswerBudget::new(EVENT_MAX_BYTES, EVENTS_MAX_BYTES),
        }
    }
}

impl HttpEndpointClient {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    fn connection_for(&self, endpoint: &Endpoint, body: &CallBody) -> Connection {
        // An idle connection may be dead, and an unsafe call can't be retried.
        let is_unsafe = matches!(body, CallBody::Service(call) if !call.method.is_safe());
        if is_unsafe || !self.names.is_reliable(endpoint.address) {
            return Connection::New;
        }
        Connection::Kept
    }

    fn client_for(&self, address: SocketAddr, on: Connection) -> Result<Client, GatewayError> {
        match on {
            Connection::Kept => self.pools.pooled(address),
            Connection::New => self.pools.unpooled(),
        }
    }

    /// Returns the response, or an error if it may be the answer to an earlier call.
    fn check_attempt(
        &self,
        response: Response,
        sent_on: Connection,
        call: &EndpointCall,
        guard: &CallGuard,
    ) -> Result<Response, GatewayError> {
        let name = response.headers().get(ATTEMPT_HEADER);
        if name.is_some_and(|name| *name == guard.attempt().to_string()) {
            self.names.on_named(guard.address());
            return Ok(response);
        }
        if sent_on == Connection::New {
            return Ok(response);
        }
        if name.is_none() {
            self.names.on_unnamed(guard.address());
            let is_completion = matches!(call.body, CallBody::Completion(_));
            if is_completion && response.status().is_success() {
                // Its events name the request.
                return Ok(response);
            }
        }
        let status = response.status().as_u16();
        log::warn!(request_id:% = call.request_id, address:% = guard.address(), status;
            "an answer that may be of another attempt is dropped");
        guard.discard_pool();
        Err(another_attempt())
    }

    /// Sends a load request or an order and returns the response, whose body is not read yet.
    async fn exchange(
        &self,
        address: SocketAddr,
        request: RequestBuilder,
    ) -> Result<Response, GatewayError> {
        let sent = request.timeout(EXCHANGE_TIMEOUT).send().await;
        if matches!(&sent, Err(error) if error.is_timeout()) {
            self.pools.discard(address);
        }
        sent.map_err(|error| transport_errors::of_send(&error))
    }
}

#[async_trait]
impl EndpointClient for HttpEndpointClient {
    async fn call(
        &self,
        endpoint: &Endpoint,
        call: EndpointCall,
    ) -> Result<AnswerStream, GatewayError> {
        let sent_on = self.connection_for(endpoint, &call.body);
        let client = self.client_for(endpoint.address, sent_on)?;
        let (request, upload) = match &call.body {
            CallBody::Completion(completion) => {
                let request = completion_request(&client, endpoint, &call, completion);
                (request, None)
            }
            CallBody::Service(service) => {
                let (upload, progress) = Upload::new(service.body.clone());
                let request = service_request(&client, endpoint, service, upload)?;
                (request, Some(progress))
            }
        };
        let limits = TimeLimits::start(&call);
        let pools = Arc::clone(&self.pools);
        let mut guard = CallGuard::new(pools, endpoint.address, call.request_id);
        if matches!(call.body, CallBody::Service(_)) {
            guard.disarm();
        }
        let request = request
            .header(REQUEST_ID_HEADER, call.request_id.to_string())
            .header(ATTEMPT_HEADER, guard.attempt());
        let response = send(request, &limits, &mut guard).await?;
        let response = self.check_attempt(response, sent_on, &call, &guard)?;
        if response.status().is_informational() {
            // No call asks for another protocol, so a switch to one is no answer.
            return Err(unexpected_status(&response));
        }
        match call.body {
            CallBody::Completion(completion) => {
                let response = check_success(response, &mut guard)?;
                let checker = AnswerChecker::new(call.request_id, call.resume_offset)
                    .with_chunk_limit(completion.answer_max_tokens);
                let held = self.events.begin();
                Ok(EngineAnswer::new(response, held, checker, limits, guard).into_stream())
            }
            CallBody::Service(_) => {
                let response = check_not_refused(response)?;
                let answer = ServiceAnswer::new(response, upload, call.request_id, limits, guard);
                Ok(answer.into_stream())
            }
        }
    }

    fn discard_connections(&self, endpoint: &Endpoint) {
        self.pools.discard(endpoint.address);
    }

    async fn cancel(&self, endpoint: &Endpoint, request: RequestId) {
        send_cancel(Arc::clone(&self.pools), endpoint.address, request, None).await;
    }

    async fn load(
        &self,
        endpoint: &Endpoint,
        cache_sequence: u64,
    ) -> Result<LoadReport, GatewayError> {
        let client = self.pools.pooled(endpoint.address)?;
        let address = endpoint.address;
        let url = format!("http://{address}/v1/load?after={cache_sequence}");
        let attempt: u64 = rand::random();
        let request = client.get(url).header(ATTEMPT_HEADER, attempt);
        let response = self.exchange(address, request).await?;
        let name = response.headers().get(ATTEMPT_HEADER);
        if name.is_some_and(|name| *name != attempt.to_string()) {
            self.pools.discard(address);
            return Err(another_attempt());
        }
        if !response.status().is_success() {
            return Err(unexpected_status(&response));
        }
        let wire: LoadReportWire = parse_json(response).await?;
        Ok(wire.into())
    }

    async fn order(
        &self,
        endpoint: &Endpoint,
        order: EndpointOrder,
    ) -> Result<OrderOutcome, GatewayError> {
        // The answer to an order names nothing that tells it from that to an earlier one.
        let client = self.pools.unpooled()?;
        let address = endpoint.address;
        let url = format!("http://{address}/v1/orders");
        let request = client.post(url).json(&OrderWire::from(order));
        let response = self.exchange(address, request).await?;
        match response.status() {
            status if status.is_success() => Ok(OrderOutcome::Accepted),
            StatusCode::CONFLICT => {
                let wire: FencedWire = parse_json(response).await?;
                let highest = TicketNumber(wire.highest);
                Ok(OrderOutcome::Fenced { highest })
            }
            _ => Err(unexpected_status(&response)),
        }
    }
}

fn completion_request(
    client: &Client,
    endpoint: &Endpoint,
    call: &EndpointCall,
    completion: &CompletionCall,
) -> RequestBuilder {
    let url = format!("http://{}/v1/chat/completions", endpoint.address);
    client
        .post(url)
        .header(CONTENT_TYPE, JSON_TYPE)
        .header(PRIORITY_HEADER, priority_of(call.class))
        .header(RESUME_OFFSET_HEADER, call.resume_offset)
        .header(ANSWER_MAX_TOKENS_HEADER, completion.answer_max_tokens)
        .body(completion.body.clone())
}

fn service_request(
    client: &Client,
    endpoint: &Endpoint,
    service: &ServiceCall,
    upload: Upload,
) -> Result<RequestBuilder, GatewayError> {
    let url = format!("http://{}{}", endpoint.address, service.path_and_query);
    let method = Method::from_bytes(service.method.as_str().as_bytes())
        .map_err(|_| transport_errors::malformed("the method is not a valid HTTP method"))?;
    let mut request = client.request(method, url).body(Body::wrap(upload));
    if let Some(content_type) = &service.content_type {
        request = request.header(CONTENT_TYPE, content_type);
    }
    Ok(request)
}

async fn parse_json<T: DeserializeOwned>(response: Response) -> Result<T, GatewayError> {
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|_| {
        transport_errors::malformed("the endpoint's answer is not valid JSON of the expected form")
    })
}

async fn read_body(mut response: Response) -> Result<Vec<u8>, GatewayError> {
    let mut body = Vec::new();
    loop {
        let chunk = response.chunk().await;
        let Some(chunk) = chunk.map_err(|_| transport_errors::truncated())? else {
            return Ok(body);
        };
        if body.len() + chunk.len() > EXCHANGE_MAX_BYTES {
            return Err(transport_errors::malformed(format!(
                "the endpoint's answer is longer than {EXCHANGE_MAX_BYTES} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
}

fn another_attempt() -> GatewayError {
    transport_errors::malformed("the endpoint's answer may be of another attempt")
}

fn unexpected_status(response: &Response) -> GatewayError {
    let status = response.status().as_u16();
    transport_errors::malformed(format!("the endpoint answered with status {status}"))
}

async fn send(
    request: RequestBuilder,
    limits: &TimeLimits,
    guard: &mut CallGuard,
) -> Result<Response, GatewayError> {
    let sent = limits.enforce(request.send()).await;
    if matches!(&sent, Err(error) if error.kind == ErrorKind::AnswerSilent) {
        guard.discard_pool();
    }
    let sent = sent?.map_err(|error| transport_errors::of_send(&error));
    if matches!(&sent, Err(error) if error.run == RunState::NotRun) {
        guard.disarm();
    }
    sent
}

/// Returns a successful response, or an error for any other.
fn check_success(response: Response, guard: &mut CallGuard) -> Result<Response, GatewayError> {
    if response.status().is_success() {
        return Ok(response);
    }
    guard.disarm();
    let response = check_not_refused(response)?;
    Err(unexpected_status(&response))
}

/// Returns an error if the endpoint refused the call and states that it did not run; returns any
/// other response.
fn check_not_refused(response: Response) -> Result<Response, GatewayError> {
    let is_refusal = matches!(response.status().as_u16(), 429 | 503);
    let run_state = response.headers().get(RUN_STATE_HEADER);
    let is_not_run = run_state.is_some_and(|value| value == RunState::NotRun.as_str());
    if !is_refusal || !is_not_run {
        return Ok(response);
    }
    let mut error = GatewayError::new(
        ErrorKind::EndpointRefused,
        "the endpoint refused the call and did not run it",
    );
    error.retry_after = retry_after_of(&response);
    Err(error)
}

fn retry_after_of(response: &Response) -> Option<Duration> {
    let text = response.headers().get(RETRY_AFTER)?.to_str().ok()?;
    let retry_after_s = text.parse().ok()?;
    Some(Duration::from_secs(retry_after_s))
}

/// Returns the priority of a class; engines serve higher numbers first.
const fn priority_of(class: WorkClass) -> u32 {
    match class {
        WorkClass::Interactive => 1,
        WorkClass::Long => 0,
    }
}
