//! The JSON form of the values in change tickets.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegionWire {
    pub availability_zones: Vec<String>,
    pub links: Vec<LinkWire>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct LinkWire {
    pub to: String,
    pub one_way_us: u64,
    pub bandwidth_bits_per_s: u64,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct VmWire {
    pub region: String,
    pub availability_zone: String,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub state: StateWire,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StateWire {
    Active,
    Leaving,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ClientAccountWire {
    pub allowed_regions: Vec<String>,
    pub rate_tokens_per_s: u64,
    pub burst_tokens: u64,
    pub weight: u32,
    #[serde(default)]
    pub region_shares: Vec<RegionShareWire>,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RegionShareWire {
    pub region: String,
    pub weight: u32,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ApiKeyWire {
    pub client_account: String,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RouteWire {
    pub kind: RouteKindWire,
    #[serde(default)]
    pub path_prefix: Option<String>,
    #[serde(default)]
    pub is_open: bool,
    pub class: ClassWire,
    pub repeatability: RepeatabilityWire,
    pub deadline_ms: u64,
    pub first_event_timeout_ms: u64,
    pub silence_timeout_ms: u64,
    #[serde(default)]
    pub answer_max_tokens: u64,
    #[serde(default)]
    pub call_cost_tokens: u64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RouteKindWire {
    Model,
    Service,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum ClassWire {
    Interactive,
    Long,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum RepeatabilityWire {
    Idempotent,
    NonIdempotent,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EndpointWire {
    pub kind: EndpointKindWire,
    #[serde(default)]
    pub role: EndpointRoleWire,
    pub address: SocketAddr,
    pub region: String,
    pub availability_zone: String,
    pub routes: Vec<String>,
    pub state: StateWire,
    pub concurrency: u32,
    #[serde(default)]
    pub checks_fencing: bool,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndpointKindWire {
    Engine,
    Service,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum EndpointRoleWire {
    #[default]
    Full,
    Prefill,
    Decode,
}

#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(super) struct PlacementRuleWire {
    pub route: String,
    pub region: String,
    pub version: String,
    pub engine_count: u32,
}
