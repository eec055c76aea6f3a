//! Locates and reads the settings file of the process.

use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use super::settings_wire::SettingsWire;
use crate::entry::EntrySettings;

const PATH_VARIABLE: &str = "FIGRAMP_CONFIG";
const DEFAULT_PATH: &str = "/etc/figramp/node.json";

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// A field is missing or has an invalid value.
    #[error("{path}: {reason}")]
    Invalid {
        /// The file.
        path: String,
        /// The field, and what was expected.
        reason: String,
    },
}

/// Returns the path of the settings file.
pub fn settings_path() -> PathBuf {
    std::env::var_os(PATH_VARIABLE).map_or_else(|| PathBuf::from(DEFAULT_PATH), PathBuf::from)
}

/// Reads and checks a settings file; unknown fields are ignored.
///
/// # Errors
///
/// Returns a [`SettingsError`] with the file, the field and what was expected.
pub fn load_settings(path: &Path) -> Result<EntrySettings, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read(path).map_err(|source| SettingsError::Unreadable {
        path: shown.clone(),
        source,
    })?;
    let mut deserializer = serde_json::Deserializer::from_slice(&text);
    let wire: SettingsWire =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            SettingsError::Invalid {
                path: shown.clone(),
                reason: error.to_string(),
            }
        })?;
    EntrySettings::try_from(wire).map_err(|reason| SettingsError::Invalid {
        path: shown,
        reason,
    })
}
