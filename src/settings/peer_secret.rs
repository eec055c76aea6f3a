//! The secret that all VMs share.

use std::fmt;
use std::fs;
use std::path::Path;

use super::SettingsError;

/// The shortest accepted secret, in bytes.
pub const PEER_SECRET_MIN_BYTES: usize = 16;

/// The secret by which VMs recognise each other; it is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerSecret(Vec<u8>);

impl PeerSecret {
    /// Reads the secret from its file, without white space at its ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the secret is too short.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let path = path.as_ref();
        let file = path.display().to_string();
        let bytes = fs::read(path).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        let secret = bytes.trim_ascii();
        if secret.len() < PEER_SECRET_MIN_BYTES {
            return Err(SettingsError::ShortSecret {
                file,
                min_bytes: PEER_SECRET_MIN_BYTES,
                found_bytes: secret.len(),
            });
        }
        Ok(Self(secret.to_vec()))
    }

    /// Wraps a secret that did not come from a file.
    pub fn from_bytes(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the bytes of the secret.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}
