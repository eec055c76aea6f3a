//! The calls of the mixed load.

use std::net::SocketAddr;

use serde_json::json;
use serde_json::Value;

/// The kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// A streaming completion.
    Stream,
    /// A non-streaming completion.
    Whole,
    /// A non-idempotent call of the booking service.
    Booking,
}

/// One call of the mixed load.
#[derive(Clone, Debug)]
pub struct SampleCall {
    /// The kind.
    pub kind: CallKind,
    /// The VM that the call is sent to.
    pub address: SocketAddr,
    /// The caller's API key.
    pub key: String,
    /// The number of the call, unique in a run.
    pub number: u64,
}

impl SampleCall {
    /// Returns the idempotency key, which a duplicate of the call would share.
    pub fn idempotency_key(&self) -> String {
        format!("booking-{}", self.number)
    }

    /// Returns the path of the call.
    pub fn path(&self) -> &'static str {
        match self.kind {
            CallKind::Stream | CallKind::Whole => "/v1/chat/completions",
            CallKind::Booking => "/bookings/soil",
        }
    }

    /// Returns the body of the call.
    pub fn body(&self) -> Value {
        let number = self.number;
        match self.kind {
            CallKind::Stream => json!({
                "model": "plan-reviews",
                "stream": true,
                "max_tokens": 48,
                "messages": [{
                    "role": "user",
                    "content": format!("Review plan {number}: a bed for a wet summer."),
                }],
            }),
            CallKind::Whole => json!({
                "model": "plant-tips",
                "max_tokens": 12,
                "messages": [{
                    "role": "user",
                    "content": format!("Tip {number}: which fern stands in shade?"),
                }],
            }),
            CallKind::Booking => json!({ "booking": number, "soil_m3": 4 }),
        }
    }
}
