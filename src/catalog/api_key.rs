//! Digests of API keys.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// The SHA-256 digest of an API key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key as sent by the caller.
    pub fn of_key(key: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(key.as_ref()).into())
    }

    /// Wraps the 32 bytes of a digest.
    pub const fn from_bytes(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Parses 64 hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if `text` is not 64 hexadecimal digits.
    pub fn from_hex(text: impl AsRef<str>) -> Result<Self, hex::FromHexError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text.as_ref(), &mut bytes)?;
        Ok(Self(bytes))
    }

    /// Returns the digest as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        hex::encode(self.0)
    }

    /// Returns the bytes of the digest.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({}..)", hex::encode(&self.0[..4]))
    }
}
