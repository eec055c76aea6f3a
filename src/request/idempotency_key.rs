//! Idempotency keys chosen by callers.

use std::sync::Arc;

use thiserror::Error;

/// The longest accepted idempotency key, in bytes.
pub const IDEMPOTENCY_KEY_MAX_BYTES: usize = 128;

/// The text by which a caller identifies a non-idempotent call and its duplicates.
///
/// Keys are unique within a client account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(Arc<str>);

/// The text is empty, too long or not printable ASCII.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("an idempotency key is 1 to {IDEMPOTENCY_KEY_MAX_BYTES} bytes of printable ASCII")]
pub struct IdempotencyKeyError;

impl IdempotencyKey {
    /// Creates an idempotency key from `text`.
    ///
    /// # Errors
    ///
    /// Returns [`IdempotencyKeyError`] if `text` is empty, too long or not printable ASCII.
    pub fn new(text: impl AsRef<str>) -> Result<Self, IdempotencyKeyError> {
        let text = text.as_ref();
        let is_length_valid = (1..=IDEMPOTENCY_KEY_MAX_BYTES).contains(&text.len());
        if !is_length_valid || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(IdempotencyKeyError);
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
