//! The settings of a daemon after validation.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::configuration::ConfigurationSettings;
use crate::configuration::VmIdentity;

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The VM that the daemon runs on.
    pub vm: VmIdentity,
    /// The connection to the platform.
    pub platform: PlatformSettings,
    /// How other VMs are found and authenticated.
    pub peers: PeerSettings,
    /// The log format and level.
    pub log: LogSettings,
    /// Limits of sizes and counts.
    pub bounds: BoundSettings,
    /// Intervals and timeouts.
    pub intervals: IntervalSettings,
}

/// The connection to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The HTTP address of the configuration service and the VM list.
    pub address: SocketAddr,
    /// The timeout of an answer, in addition to the wait that the request asks for.
    pub timeout: Duration,
}

/// How other VMs are found and authenticated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The file with the secret that all VMs share.
    pub secret_file: PathBuf,
    /// The VMs to contact before the roster is known.
    pub seeds: Vec<VmIdentity>,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: log::LevelFilter,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Limits of sizes and counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The largest request body, in bytes.
    pub body_max_bytes: usize,
    /// The largest number of waiting requests at one VM.
    pub queued_max_requests: usize,
    /// The largest sum of tokens that the waiting requests of one VM need.
    pub queued_max_tokens: u64,
    /// The largest number of running requests at one VM.
    pub running_max_requests: usize,
    /// The number of entries of the audit trail that are kept.
    pub audit_max_entries: usize,
    /// The number of finished requests whose explanations are kept.
    pub explained_max_requests: usize,
}

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntervalSettings {
    /// The interval between ticks of the controllers.
    pub tick: Duration,
    /// The interval between heartbeats.
    pub heartbeat: Duration,
    /// The time without a tick after which the VM counts as paused.
    pub lease: Duration,
    /// The interval between reads of an endpoint's load.
    pub load_report: Duration,
    /// The time for which callers may cache the list of entry VMs.
    pub entries_ttl: Duration,
    /// The time between the announcement of a shutdown and the refusal of new requests.
    pub drain_notice: Duration,
    /// The propagation of change tickets.
    pub configuration: ConfigurationSettings,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: log::LevelFilter::Info,
        }
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_max_bytes: 4 * 1024 * 1024,
            queued_max_requests: 4_096,
            queued_max_tokens: 16_000_000,
            running_max_requests: 8_192,
            audit_max_entries: 4_096,
            explained_max_requests: 4_096,
        }
    }
}

impl Default for IntervalSettings {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(100),
            heartbeat: Duration::from_secs(1),
            lease: Duration::from_secs(2),
            load_report: Duration::from_millis(500),
            entries_ttl: Duration::from_secs(5),
            drain_notice: Duration::from_secs(2),
            configuration: ConfigurationSettings::default(),
        }
    }
}
