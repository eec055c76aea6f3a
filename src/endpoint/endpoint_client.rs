//! The interface to endpoints.

use async_trait::async_trait;

use super::EndpointCall;
use super::EndpointOrder;
use super::LoadReport;
use super::OrderOutcome;
use crate::catalog::Endpoint;
use crate::errors::GatewayError;
use crate::request::AnswerStream;
use crate::request::RequestId;

/// Sends calls, cancellations, load requests and orders to endpoints.
#[async_trait]
pub trait EndpointClient: Send + Sync {
    /// Sends a call and returns its checked answer.
    ///
    /// The stream leaves out events of other requests and duplicates; a gap, a truncated answer or
    /// a silent connection ends it with an error. Dropping the stream cancels the call.
    ///
    /// # Errors
    ///
    /// Returns an error with run state `NotRun` only if no byte was sent or the endpoint reported
    /// that the call did not run.
    async fn call(
        &self,
        endpoint: &Endpoint,
        call: EndpointCall,
    ) -> Result<AnswerStream, GatewayError>;

    /// Makes later calls use new connections, as one to the endpoint is silent.
    fn discard_connections(&self, endpoint: &Endpoint);

    /// Cancels all attempts of `request` at an engine; a failure is only logged.
    async fn cancel(&self, endpoint: &Endpoint, request: RequestId);

    /// Requests the load and the cache events after `cache_sequence`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer in time or its answer is invalid.
    async fn load(
        &self,
        endpoint: &Endpoint,
        cache_sequence: u64,
    ) -> Result<LoadReport, GatewayError>;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome of the order is unknown.
    async fn order(
        &self,
        endpoint: &Endpoint,
        order: EndpointOrder,
    ) -> Result<OrderOutcome, GatewayError>;
}
