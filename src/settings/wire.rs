//! The TOML format of the settings.

use serde::Deserialize;
use toml::Spanned;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct SettingsWire {
    pub vm: VmWire,
    pub platform: PlatformWire,
    pub peers: PeersWire,
    #[serde(default)]
    pub log: LogWire,
    #[serde(default)]
    pub bounds: BoundsWire,
    #[serde(default)]
    pub intervals: IntervalsWire,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VmWire {
    pub name: Spanned<String>,
    pub region: Spanned<String>,
    pub availability_zone: Spanned<String>,
    pub caller_address: Spanned<String>,
    pub peer_address: Spanned<String>,
    pub operator_address: Spanned<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlatformWire {
    pub address: Spanned<String>,
    pub timeout_ms: Option<Spanned<u64>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PeersWire {
    pub secret_file: Spanned<String>,
    #[serde(default)]
    pub seeds: Vec<VmWire>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LogWire {
    #[serde(default)]
    pub format: LogFormatWire,
    #[serde(default)]
    pub level: LogLevelWire,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LogFormatWire {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LogLevelWire {
    Error,
    Warn,
    #[default]
    Info,
    Debug,
    Trace,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct BoundsWire {
    pub body_max_bytes: Option<Spanned<u64>>,
    pub queued_max_requests: Option<Spanned<u64>>,
    pub queued_max_tokens: Option<Spanned<u64>>,
    pub running_max_requests: Option<Spanned<u64>>,
    pub audit_max_entries: Option<Spanned<u64>>,
    pub explained_max_requests: Option<Spanned<u64>>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct IntervalsWire {
    pub tick_ms: Option<Spanned<u64>>,
    pub heartbeat_ms: Option<Spanned<u64>>,
    pub lease_ms: Option<Spanned<u64>>,
    pub gossip_ms: Option<Spanned<u64>>,
    pub boot_wait_ms: Option<Spanned<u64>>,
    pub watch_wait_ms: Option<Spanned<u64>>,
    pub poll_ms: Option<Spanned<u64>>,
    pub load_report_ms: Option<Spanned<u64>>,
    pub entries_ttl_ms: Option<Spanned<u64>>,
    pub drain_notice_ms: Option<Spanned<u64>>,
}
