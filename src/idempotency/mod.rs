//! Records that keep a non-idempotent call from running twice.

mod message;

pub use message::IdempotencyMessage;
