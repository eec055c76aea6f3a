//! Names of published objects.

use std::fmt;
use std::sync::Arc;

use thiserror::Error;

/// The longest accepted name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// The name of a published object: 1 to 64 bytes of letters, digits, `-`, `_`, `.` and `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// The reason why a text is not a valid [`Name`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,

    /// The text is longer than [`NAME_MAX_BYTES`].
    #[error("a name must not be longer than {NAME_MAX_BYTES} bytes")]
    TooLong,

    /// The text contains a character that is not allowed in names.
    #[error("a name may hold letters, digits, '-', '_', '.' and '/' only")]
    BadCharacter,
}

impl Name {
    /// Creates a name from `text`.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if `text` is empty, too long or contains a character outside the set.
    pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
        let text = text.as_ref();
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > NAME_MAX_BYTES {
            return Err(NameError::TooLong);
        }
        if !text.bytes().all(is_name_byte) {
            return Err(NameError::BadCharacter);
        }
        Ok(Self(Arc::from(text)))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        Self::new(text)
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b'/')
}
