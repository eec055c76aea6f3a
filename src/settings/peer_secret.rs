//! Reads the secret that all VMs share.

use std::fs;

use super::PeerSettings;
use super::SettingsError;
use crate::peer::PeerSecret;

impl PeerSettings {
    /// Reads the secret from its file and trims ASCII white space at both ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or the secret is too short.
    pub fn read_secret(&self) -> Result<PeerSecret, SettingsError> {
        let file = self.secret_file.display().to_string();
        let bytes = fs::read(&self.secret_file).map_err(|error| SettingsError::Unreadable {
            file: file.clone(),
            reason: error.to_string(),
        })?;
        PeerSecret::new(bytes.trim_ascii()).map_err(|error| SettingsError::InvalidSecret {
            file,
            reason: error,
        })
    }
}
