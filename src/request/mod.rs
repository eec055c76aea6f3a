//! Requests from callers and the events of their answers.

mod answer_event;
mod call;
mod call_body;
mod idempotency_key;
mod incoming_call;
mod request_id;
mod visited;

pub use answer_event::AnswerEvent;
pub use answer_event::AnswerPayload;
pub use answer_event::AnswerStream;
pub use answer_event::Usage;
pub use call::Call;
pub use call_body::CallBody;
pub use call_body::CompletionCall;
pub use call_body::HttpMethod;
pub use call_body::ServiceCall;
pub use idempotency_key::IdempotencyKey;
pub use idempotency_key::IdempotencyKeyError;
pub use incoming_call::CallTarget;
pub use incoming_call::IncomingCall;
pub use request_id::RequestId;
pub use visited::Visited;
