//! Decodes the operator's configuration.

use std::time::Duration;

use serde::Deserialize;

use crate::catalog::Name;
use crate::deployment::AccountPolicy;
use crate::deployment::ClientLimits;
use crate::deployment::Deployment;
use crate::deployment::DeploymentBuilder;
use crate::deployment::HomeRegions;
use crate::deployment::RetrySafety;
use crate::deployment::ServedRoute;
use crate::deployment::ServiceProfile;
use crate::deployment::Topology;
use crate::deployment::WeightedService;

const SINGLE_SERVICE_WEIGHT: u32 = 1;

#[derive(Debug, Deserialize)]
struct ConfigurationWire {
    version: u64,
    routes: Vec<RouteWire>,
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: Option<LimitsWire>,
    #[serde(default)]
    tenants: Vec<TenantWire>,
}

#[derive(Debug, Deserialize)]
struct RouteWire {
    name: String,
    host: String,
    prefix: String,
    #[serde(rename = "routeType")]
    route_type: RouteTypeWire,
    #[serde(rename = "timeoutMs")]
    timeout_ms: f64,
    #[serde(rename = "targetLatencyMs", default)]
    target_latency_ms: f64,
    #[serde(rename = "gapTargetMs", default)]
    gap_target_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<String>,
    #[serde(rename = "trafficSplit", default)]
    traffic_split: Vec<SplitWire>,
    #[serde(rename = "maxAttempts", default = "one")]
    max_attempts: u32,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(rename = "homeRegions", default)]
    home_regions: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum RouteTypeWire {
    Safe,
    Unsafe,
    Streaming,
}

#[derive(Debug, Deserialize)]
struct SplitWire {
    service: String,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceWire {
    name: String,
    #[serde(rename = "maxConnections", default = "unlimited")]
    max_connections: u32,
    #[serde(rename = "coldStartS", default)]
    cold_start_s: f64,
    #[serde(rename = "coldPerS", default)]
    cold_per_s: f64,
    /// Present for model engines only.
    #[serde(default)]
    engine: Option<serde::de::IgnoredAny>,
}

#[derive(Debug, Deserialize)]
struct LimitsWire {
    #[serde(rename = "maxHeaderBytes")]
    max_header_bytes: usize,
    #[serde(rename = "maxBodyBytes")]
    max_body_bytes: usize,
    #[serde(rename = "headerTimeoutMs")]
    header_timeout_ms: u64,
    #[serde(rename = "idleTimeoutMs")]
    idle_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
struct TenantWire {
    name: String,
    #[serde(rename = "apiKeys", default)]
    api_keys: Vec<String>,
    #[serde(default)]
    priority: Option<u8>,
    /// The unit of rate and burst: `tokens`; any other value or none means requests.
    #[serde(default)]
    unit: Option<String>,
    #[serde(rename = "plainTokens", default)]
    plain_tokens: f64,
    #[serde(rename = "ratePerS", default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    #[serde(rename = "homeRegions", default)]
    home_regions: Vec<String>,
}

const fn one() -> u32 {
    1
}

const fn unlimited() -> u32 {
    u32::MAX
}

/// Decodes a configuration; references to unknown services and regions are ignored.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid configuration.
pub fn decode_configuration(
    bytes: &[u8],
    topology: &Topology,
) -> Result<Deployment, serde_json::Error> {
    let wire: ConfigurationWire = serde_json::from_slice(bytes)?;
    let limits = wire.limits.map(ClientLimits::from).unwrap_or_default();
    let mut builder = DeploymentBuilder::new(wire.version, limits);
    for service in wire.services {
        builder.add_service(ServiceProfile {
            name: name(&service.name)?,
            connections_max: service.max_connections,
            cold_start: seconds(service.cold_start_s),
            cold_rate_per_s: service.cold_per_s,
            is_engine: service.engine.is_some(),
        });
    }
    for route in wire.routes {
        let host = route.host.clone();
        let route = served_route(route, &builder, topology)?;
        builder.add_route(&host, route);
    }
    for tenant in wire.tenants {
        let api_keys = tenant.api_keys.clone();
        builder.add_account(account_policy(tenant, topology)?, api_keys);
    }
    Ok(builder.build())
}

fn served_route(
    wire: RouteWire,
    builder: &DeploymentBuilder,
    topology: &Topology,
) -> Result<ServedRoute, serde_json::Error> {
    let single = wire.service.into_iter().map(|service| SplitWire {
        service,
        weight: SINGLE_SERVICE_WEIGHT,
    });
    let services = wire.traffic_split.into_iter().chain(single);
    Ok(ServedRoute {
        name: name(&wire.name)?,
        path_prefix: wire.prefix.into(),
        retry_safety: match (wire.route_type, wire.resumable) {
            (RouteTypeWire::Safe, _) => RetrySafety::Idempotent,
            (RouteTypeWire::Unsafe, _) => RetrySafety::AtMostOnce,
            (RouteTypeWire::Streaming, true) => RetrySafety::ResumableStream,
            (RouteTypeWire::Streaming, false) => RetrySafety::AtMostOnceStream,
        },
        timeout: milliseconds(wire.timeout_ms),
        target_latency: milliseconds(wire.target_latency_ms),
        event_gap: milliseconds(wire.gap_target_ms),
        priority: wire.priority,
        services: services
            .filter_map(|split| {
                Some(WeightedService {
                    service: builder.service_key(&split.service)?,
                    weight: split.weight,
                })
            })
            .collect(),
        attempts_max: wire.max_attempts,
        is_public: wire.public,
        home_regions: home_regions(&wire.home_regions, topology),
    })
}

fn account_policy(
    wire: TenantWire,
    topology: &Topology,
) -> Result<AccountPolicy, serde_json::Error> {
    Ok(AccountPolicy {
        name: name(&wire.name)?,
        priority: wire.priority,
        rate_per_s: (wire.rate_per_s > 0.0).then_some(wire.rate_per_s),
        burst: wire.burst,
        is_counted_in_tokens: wire.unit.as_deref() == Some("tokens"),
        undeclared_tokens: wire.plain_tokens as u64,
        home_regions: home_regions(&wire.home_regions, topology),
    })
}

fn home_regions(names: &[String], topology: &Topology) -> HomeRegions {
    if names.is_empty() {
        return HomeRegions::Any;
    }
    let known = names.iter().filter_map(|name| {
        let region = topology.region(name);
        if region.is_none() {
            log::warn!(region = name.as_str(); "a home region is not in the settings of this VM");
        }
        region
    });
    HomeRegions::Only(known.collect())
}

fn name(text: &str) -> Result<Name, serde_json::Error> {
    Name::new(text).map_err(|error| serde::de::Error::custom(format!("{error}, got {text:?}")))
}

fn milliseconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value / 1_000.0).unwrap_or_default()
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or_default()
}

impl From<LimitsWire> for ClientLimits {
    fn from(wire: LimitsWire) -> Self {
        Self {
            header_max_bytes: wire.max_header_bytes,
            body_max_bytes: wire.max_body_bytes,
            header_timeout: Duration::from_millis(wire.header_timeout_ms),
            idle_timeout: Duration::from_millis(wire.idle_timeout_ms),
        }
    }
}
