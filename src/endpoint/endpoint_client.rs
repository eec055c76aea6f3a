//! The border towards endpoints.

use async_trait::async_trait;

use super::EndpointCall;
use super::EndpointOrder;
use super::LoadReport;
use super::OrderOutcome;
use crate::catalog::Endpoint;
use crate::errors::GatewayError;
use crate::request::AnswerStream;
use crate::request::RequestId;

/// Talks to endpoints.
#[async_trait]
pub trait EndpointClient: Send + Sync {
    /// Sends a call and returns its checked answer.
    ///
    /// Events of other requests and repeated events never appear in the stream; a gap, a
    /// truncated answer or a silent connection ends it with an error. The stream is dropped to
    /// cancel the call.
    ///
    /// # Errors
    ///
    /// Returns an error with run state `NotRun` only if no byte was sent or the endpoint said
    /// that the call did not run.
    async fn call(
        &self,
        endpoint: &Endpoint,
        call: EndpointCall,
    ) -> Result<AnswerStream, GatewayError>;

    /// Tells an engine that an answer is no longer wanted.
    async fn cancel(&self, endpoint: &Endpoint, request: RequestId);

    /// Asks for the load and for the cache events after `cache_sequence`.
    ///
    /// # Errors
    ///
    /// Returns an error if the endpoint does not answer in time or its answer does not parse.
    async fn load(
        &self,
        endpoint: &Endpoint,
        cache_sequence: u64,
    ) -> Result<LoadReport, GatewayError>;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// Returns an error if the outcome of the order is not known.
    async fn order(
        &self,
        endpoint: &Endpoint,
        order: EndpointOrder,
    ) -> Result<OrderOutcome, GatewayError>;
}
