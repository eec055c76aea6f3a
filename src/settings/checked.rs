//! Checked settings.

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
    /// The platform.
    pub platform: PlatformSettings,
    /// The other VMs.
    pub peers: PeerSettings,
    /// The log.
    pub log: LogSettings,
    /// Sizes that are never exceeded.
    pub bounds: BoundSettings,
    /// Intervals and timeouts.
    pub intervals: IntervalSettings,
}

/// Where the platform is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The HTTP address of the configuration service and the VM list.
    pub address: SocketAddr,
    /// The longest time that an answer may take beyond the wait that was asked for.
    pub timeout: Duration,
}

/// How other VMs are found and recognised.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// The file with the secret that all VMs share.
    pub secret_file: PathBuf,
    /// VMs that are known before the roster is.
    pub seeds: Vec<VmIdentity>,
}

/// How the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// The least severe level that is written.
    pub level: log::LevelFilter,
}

/// The form of a line of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Sizes that are never exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The longest body of a request, in bytes.
    pub body_max_bytes: usize,
    /// The most requests that wait at one VM.
    pub queued_max_requests: usize,
    /// The most tokens that waiting requests of one VM may need.
    pub queued_max_tokens: u64,
    /// The most requests that run through one VM.
    pub running_max_requests: usize,
    /// The most entries of the audit trail that are kept.
    pub audit_max_entries: usize,
    /// The most finished requests that can be explained.
    pub explained_max_requests: usize,
}

/// Intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntervalSettings {
    /// The time between two ticks of the controllers.
    pub tick: Duration,
    /// The time between two heartbeats.
    pub heartbeat: Duration,
    /// The time without a tick after which the VM counts as paused.
    pub lease: Duration,
    /// The time between two reads of an endpoint's load.
    pub load_report: Duration,
    /// The time for which callers may keep the list of entry VMs.
    pub entries_ttl: Duration,
    /// The time between the notice of a shutdown and the refusal of new work.
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
