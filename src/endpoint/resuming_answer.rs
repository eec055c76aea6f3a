//! Answers that are resumed when their connection fails.

use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use futures::StreamExt;
use tokio::time::sleep;
use tokio::time::Instant;

use super::EndpointCall;
use super::EndpointClient;
use crate::catalog::Endpoint;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;

/// A failure in the middle of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerFailure {
    /// The error.
    pub error: GatewayError,
    /// The number of resumes so far.
    pub resume_count: u32,
    /// The offset of the first chunk that has not come.
    pub next_offset: u64,
}

/// Decides whether a failed answer is resumed.
pub trait ResumePolicy: Send + Sync {
    /// Returns the wait before the resume, or `None` to give the answer up.
    fn resume_after(&self, failure: &AnswerFailure) -> Option<Duration>;
}

impl<F> ResumePolicy for F
where
    F: Fn(&AnswerFailure) -> Option<Duration> + Send + Sync,
{
    fn resume_after(&self, failure: &AnswerFailure) -> Option<Duration> {
        self(failure)
    }
}

/// An answer of a model that is resumed at the same endpoint, over a new connection, when it
/// fails; each chunk appears once.
pub struct ResumingAnswer {
    client: Arc<dyn EndpointClient>,
    policy: Arc<dyn ResumePolicy>,
    endpoint: Endpoint,
    call: EndpointCall,
    events: AnswerStream,
    deadline: Instant,
    resume_count: u32,
}

impl ResumingAnswer {
    /// Wraps `events`, the answer to `call` from `endpoint`.
    pub fn new(
        client: Arc<dyn EndpointClient>,
        policy: Arc<dyn ResumePolicy>,
        endpoint: Endpoint,
        call: EndpointCall,
        events: AnswerStream,
    ) -> Self {
        let deadline = Instant::now() + call.remaining;
        Self {
            client,
            policy,
            endpoint,
            call,
            events,
            deadline,
            resume_count: 0,
        }
    }

    /// Returns the events; the stream ends after the end mark or an error.
    pub fn into_stream(self) -> AnswerStream {
        Box::pin(stream::unfold(Some(self), |answer| async move {
            let mut answer = answer?;
            match answer.next_event().await {
                Ok(event) if matches!(event.payload, AnswerPayload::End(_)) => {
                    Some((Ok(event), None))
                }
                Ok(event) => Some((Ok(event), Some(answer))),
                Err(error) => Some((Err(error), None)),
            }
        }))
    }

    async fn next_event(&mut self) -> Result<AnswerEvent, GatewayError> {
        loop {
            match self.events.next().await {
                Some(Ok(event)) => {
                    if matches!(event.payload, AnswerPayload::Chunk(_)) {
                        self.call.resume_offset = event.offset + 1;
                    }
                    return Ok(event);
                }
                Some(Err(error)) => self.resume(error).await?,
                None => self.resume(truncated()).await?,
            }
        }
    }

    /// Asks for the rest of the answer until it comes or the policy gives up.
    async fn resume(&mut self, mut error: GatewayError) -> Result<(), GatewayError> {
        loop {
            let Some(wait) = self.wait_before_resume(&error) else {
                // Part of the answer came, so the request ran whatever the last error says.
                return Err(error.with_run(RunState::MayHaveRun));
            };
            sleep(wait).await;
            self.resume_count += 1;
            self.call.remaining = self.deadline.saturating_duration_since(Instant::now());
            match self.client.call(&self.endpoint, self.call.clone()).await {
                Ok(events) => {
                    self.events = events;
                    return Ok(());
                }
                Err(failed) => error = failed,
            }
        }
    }

    fn wait_before_resume(&self, error: &GatewayError) -> Option<Duration> {
        if !is_resumable(error.kind) {
            return None;
        }
        let failure = AnswerFailure {
            error: error.clone(),
            resume_count: self.resume_count,
            next_offset: self.call.resume_offset,
        };
        let wait = self.policy.resume_after(&failure)?;
        let is_in_time = Instant::now() + wait < self.deadline;
        is_in_time.then_some(wait)
    }
}

const fn is_resumable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::AnswerSilent
            | ErrorKind::AnswerTruncated
            | ErrorKind::EndpointFailed
            | ErrorKind::EndpointRefused
    )
}

fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "the answer ended without its end mark",
    )
}
