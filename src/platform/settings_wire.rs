//! The settings file that the platform writes for each process.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::catalog::Name;
use crate::deployment::Topology;
use crate::entry::EntryBounds;
use crate::entry::EntryListeners;
use crate::entry::EntrySettings;

/// The port of `metrics` in deploy/system.toml; the settings file has no field for it.
const METRICS_PORT: u16 = 9_464;

#[derive(Debug, Deserialize)]
pub(super) struct SettingsWire {
    node: String,
    ip: Ipv4Addr,
    zone: String,
    zones: BTreeMap<String, String>,
    listen: ListenWire,
    #[serde(rename = "portRange")]
    port_range: (u16, u16),
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    limits: LimitsWire,
    #[serde(rename = "heartbeatMs")]
    heartbeat_ms: u64,
    bounds: BoundsWire,
    platform: PlatformWire,
}

#[derive(Debug, Deserialize)]
struct ListenWire {
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    directory: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct LimitsWire {
    #[serde(rename = "memoryMb")]
    memory_mb: u64,
    #[serde(rename = "maxFds")]
    max_fds: u64,
}

#[derive(Debug, Deserialize)]
struct BoundsWire {
    #[serde(rename = "configDeadlineMs", default)]
    config_deadline_ms: Option<f64>,
    #[serde(rename = "revokeMs")]
    revoke_ms: f64,
    #[serde(rename = "graceS")]
    grace_s: f64,
    #[serde(rename = "ttl_max_s")]
    ttl_max_s: f64,
    #[serde(rename = "retryBudgetRatio")]
    retry_budget_ratio: f64,
    #[serde(rename = "budgetWindowS")]
    budget_window_s: f64,
    #[serde(rename = "budgetSlack")]
    budget_slack: f64,
    #[serde(rename = "quotaOverage", default)]
    quota_overage: f64,
}

#[derive(Debug, Deserialize)]
struct PlatformWire {
    address: SocketAddr,
}

impl TryFrom<SettingsWire> for EntrySettings {
    type Error = String;

    fn try_from(wire: SettingsWire) -> Result<Self, Self::Error> {
        let name = |text: &str| Name::new(text).map_err(|error| format!("{text:?}: {error}"));
        let pairs: Result<Vec<(Name, Name)>, String> = wire
            .zones
            .iter()
            .map(|(zone, region)| Ok((name(zone)?, name(region)?)))
            .collect();
        let topology = Topology::new(pairs?);
        let zone = topology
            .zone(&wire.zone)
            .ok_or_else(|| format!("zone: expected one of zones, got {:?}", wire.zone))?;
        if wire.port_range.0 >= wire.port_range.1 {
            return Err("portRange: expected two ports or more".to_owned());
        }
        Ok(Self {
            vm: name(&wire.node)?,
            ip: wire.ip,
            zone,
            region: topology.region_of(zone),
            topology,
            listeners: EntryListeners {
                clients: wire.listen.front,
                readiness: wire.listen.ready,
                peers: wire.listen.control,
                directory: wire.listen.directory,
                gossip_port: wire.port_range.0,
                stream_port: wire.port_range.0 + 1,
                metrics: SocketAddr::from((wire.ip, METRICS_PORT)),
            },
            seeds: wire.seeds,
            store: wire.platform.address,
            memory_max_bytes: wire.limits.memory_mb.saturating_mul(1024 * 1024),
            descriptors_max: wire.limits.max_fds,
            endpoint_heartbeat: Duration::from_millis(wire.heartbeat_ms),
            bounds: EntryBounds::from(wire.bounds),
        })
    }
}

impl From<BoundsWire> for EntryBounds {
    fn from(wire: BoundsWire) -> Self {
        let seconds = |value: f64| Duration::try_from_secs_f64(value).unwrap_or_default();
        Self {
            configuration_deadline: wire
                .config_deadline_ms
                .map_or(Duration::MAX, |ms| seconds(ms / 1_000.0)),
            key_revocation: seconds(wire.revoke_ms / 1_000.0),
            shutdown_grace: seconds(wire.grace_s),
            directory_ttl_max: seconds(wire.ttl_max_s),
            retry_ratio: wire.retry_budget_ratio,
            retry_window: seconds(wire.budget_window_s),
            retry_slack: wire.budget_slack,
            quota_overage: wire.quota_overage,
        }
    }
}
