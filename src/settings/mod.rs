//! The settings of a daemon, read from TOML and checked before use.

mod checked;
mod error;
mod parse;
mod peer_secret;
mod source_text;
mod wire;

pub use checked::BoundSettings;
pub use checked::IntervalSettings;
pub use checked::LogFormat;
pub use checked::LogSettings;
pub use checked::PeerSettings;
pub use checked::PlatformSettings;
pub use checked::Settings;
pub use error::SettingsError;
