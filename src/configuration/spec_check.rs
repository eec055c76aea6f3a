//! Validates the JSON form of values in change tickets.

use super::field_check;
use super::spec_wire::ApiKeyWire;
use super::spec_wire::ClassWire;
use super::spec_wire::ClientAccountWire;
use super::spec_wire::EndpointKindWire;
use super::spec_wire::EndpointRoleWire;
use super::spec_wire::EndpointWire;
use super::spec_wire::LinkWire;
use super::spec_wire::PlacementRuleWire;
use super::spec_wire::RegionShareWire;
use super::spec_wire::RegionWire;
use super::spec_wire::RepeatabilityWire;
use super::spec_wire::RouteKindWire;
use super::spec_wire::RouteWire;
use super::spec_wire::StateWire;
use super::spec_wire::VmWire;
use super::FieldError;
use crate::catalog::ApiKeySpec;
use crate::catalog::ClientAccountSpec;
use crate::catalog::EndpointKind;
use crate::catalog::EndpointRole;
use crate::catalog::EndpointSpec;
use crate::catalog::LinkSpec;
use crate::catalog::Name;
use crate::catalog::PlacementRuleSpec;
use crate::catalog::RegionShareSpec;
use crate::catalog::RegionSpec;
use crate::catalog::Repeatability;
use crate::catalog::RouteKind;
use crate::catalog::RouteSpec;
use crate::catalog::ServiceState;
use crate::catalog::VmSpec;
use crate::catalog::WorkClass;

const ONE_WAY_MAX_US: u64 = 10_000_000;
const BANDWIDTH_MAX_BITS_PER_S: u64 = 1_000_000_000_000_000;
const RATE_MAX_TOKENS_PER_S: u64 = 1_000_000_000_000;
const BURST_MAX_TOKENS: u64 = 1_000_000_000_000_000;
const WEIGHT_MAX: u32 = 1_000_000;
const TIME_MAX_MS: u64 = 86_400_000;
const CALL_MAX_TOKENS: u64 = 1_000_000_000;
const CONCURRENCY_MAX: u32 = 100_000;
const ENGINE_COUNT_MAX: u32 = 100_000;

impl TryFrom<RegionWire> for RegionSpec {
    type Error = FieldError;

    fn try_from(wire: RegionWire) -> Result<Self, Self::Error> {
        field_check::non_empty("availability_zones", &wire.availability_zones)?;
        let availability_zones =
            field_check::names("availability_zones", &wire.availability_zones)?;
        let links = wire
            .links
            .iter()
            .enumerate()
            .map(|(index, link)| link_spec(index, link))
            .collect::<Result<Vec<LinkSpec>, FieldError>>()?;
        field_check::distinct("links", links.iter().map(|link| &link.to))?;
        Ok(Self {
            availability_zones,
            links,
        })
    }
}

fn link_spec(index: usize, wire: &LinkWire) -> Result<LinkSpec, FieldError> {
    let field = |name: &str| format!("links[{index}].{name}");
    Ok(LinkSpec {
        to: field_check::name(&field("to"), &wire.to)?,
        one_way_us: field_check::range(&field("one_way_us"), wire.one_way_us, 0..=ONE_WAY_MAX_US)?,
        bandwidth_bits_per_s: field_check::range(
            &field("bandwidth_bits_per_s"),
            wire.bandwidth_bits_per_s,
            1..=BANDWIDTH_MAX_BITS_PER_S,
        )?,
    })
}

impl TryFrom<VmWire> for VmSpec {
    type Error = FieldError;

    fn try_from(wire: VmWire) -> Result<Self, Self::Error> {
        let spec = Self {
            region: field_check::name("region", &wire.region)?,
            availability_zone: field_check::name("availability_zone", &wire.availability_zone)?,
            caller_address: field_check::address("caller_address", wire.caller_address)?,
            peer_address: field_check::address("peer_address", wire.peer_address)?,
            operator_address: field_check::address("operator_address", wire.operator_address)?,
            state: wire.state.into(),
        };
        let addresses = [
            spec.caller_address,
            spec.peer_address,
            spec.operator_address,
        ];
        field_check::distinct("operator_address", addresses.into_iter())?;
        Ok(spec)
    }
}

impl TryFrom<ClientAccountWire> for ClientAccountSpec {
    type Error = FieldError;

    fn try_from(wire: ClientAccountWire) -> Result<Self, Self::Error> {
        field_check::non_empty("allowed_regions", &wire.allowed_regions)?;
        let allowed_regions = field_check::names("allowed_regions", &wire.allowed_regions)?;
        let region_shares = wire
            .region_shares
            .iter()
            .enumerate()
            .map(|(index, share)| share_spec(index, share, &allowed_regions))
            .collect::<Result<Vec<RegionShareSpec>, FieldError>>()?;
        field_check::distinct(
            "region_shares",
            region_shares.iter().map(|share| &share.region),
        )?;
        Ok(Self {
            allowed_regions,
            rate_tokens_per_s: field_check::range(
                "rate_tokens_per_s",
                wire.rate_tokens_per_s,
                1..=RATE_MAX_TOKENS_PER_S,
            )?,
            burst_tokens: field_check::range(
                "burst_tokens",
                wire.burst_tokens,
                1..=BURST_MAX_TOKENS,
            )?,
            weight: field_check::range("weight", wire.weight, 1..=WEIGHT_MAX)?,
            region_shares,
        })
    }
}

fn share_spec(
    index: usize,
    wire: &RegionShareWire,
    allowed_regions: &[Name],
) -> Result<RegionShareSpec, FieldError> {
    let field = |name: &str| format!("region_shares[{index}].{name}");
    let region = field_check::name(&field("region"), &wire.region)?;
    if !allowed_regions.contains(&region) {
        let problem = format!("expected one of allowed_regions, got \"{region}\"");
        return Err(FieldError::new(field("region"), problem));
    }
    let weight = field_check::range(&field("weight"), wire.weight, 1..=WEIGHT_MAX)?;
    Ok(RegionShareSpec { region, weight })
}

impl TryFrom<ApiKeyWire> for ApiKeySpec {
    type Error = FieldError;

    fn try_from(wire: ApiKeyWire) -> Result<Self, Self::Error> {
        Ok(Self {
            client_account: field_check::name("client_account", &wire.client_account)?,
        })
    }
}

impl TryFrom<RouteWire> for RouteSpec {
    type Error = FieldError;

    fn try_from(wire: RouteWire) -> Result<Self, Self::Error> {
        let deadline_ms = field_check::range("deadline_ms", wire.deadline_ms, 1..=TIME_MAX_MS)?;
        let answer_min_tokens = match wire.kind {
            RouteKindWire::Model => 1,
            RouteKindWire::Service => 0,
        };
        Ok(Self {
            kind: route_kind(&wire)?,
            is_open: wire.is_open,
            class: wire.class.into(),
            repeatability: wire.repeatability.into(),
            deadline_ms,
            first_event_timeout_ms: field_check::range(
                "first_event_timeout_ms",
                wire.first_event_timeout_ms,
                1..=deadline_ms,
            )?,
            silence_timeout_ms: field_check::range(
                "silence_timeout_ms",
                wire.silence_timeout_ms,
                1..=deadline_ms,
            )?,
            answer_max_tokens: field_check::range(
                "answer_max_tokens",
                wire.answer_max_tokens,
                answer_min_tokens..=CALL_MAX_TOKENS,
            )?,
            call_cost_tokens: field_check::range(
                "call_cost_tokens",
                wire.call_cost_tokens,
                0..=CALL_MAX_TOKENS,
            )?,
        })
    }
}

fn route_kind(wire: &RouteWire) -> Result<RouteKind, FieldError> {
    match (wire.kind, &wire.path_prefix) {
        (RouteKindWire::Model, None) => Ok(RouteKind::Model),
        (RouteKindWire::Service, Some(prefix)) => Ok(RouteKind::Service {
            path_prefix: field_check::path_prefix("path_prefix", prefix)?,
        }),
        (RouteKindWire::Model, Some(prefix)) => {
            let problem = format!("expected none on a model, got {prefix:?}");
            Err(FieldError::new("path_prefix", problem))
        }
        (RouteKindWire::Service, None) => {
            let problem = "expected a path such as \"/bookings\", got none";
            Err(FieldError::new("path_prefix", problem))
        }
    }
}

impl TryFrom<EndpointWire> for EndpointSpec {
    type Error = FieldError;

    fn try_from(wire: EndpointWire) -> Result<Self, Self::Error> {
        field_check::non_empty("routes", &wire.routes)?;
        let kind = EndpointKind::from(wire.kind);
        let role = EndpointRole::from(wire.role);
        if kind == EndpointKind::Service && role != EndpointRole::Full {
            let problem = "expected \"full\" on a plain service";
            return Err(FieldError::new("role", problem));
        }
        Ok(Self {
            kind,
            role,
            address: field_check::address("address", wire.address)?,
            region: field_check::name("region", &wire.region)?,
            availability_zone: field_check::name("availability_zone", &wire.availability_zone)?,
            routes: field_check::names("routes", &wire.routes)?,
            state: wire.state.into(),
            concurrency: field_check::range("concurrency", wire.concurrency, 1..=CONCURRENCY_MAX)?,
            checks_fencing: wire.checks_fencing,
        })
    }
}

impl TryFrom<PlacementRuleWire> for PlacementRuleSpec {
    type Error = FieldError;

    fn try_from(wire: PlacementRuleWire) -> Result<Self, Self::Error> {
        Ok(Self {
            route: field_check::name("route", &wire.route)?,
            region: field_check::name("region", &wire.region)?,
            version: field_check::name("version", &wire.version)?,
            engine_count: field_check::range(
                "engine_count",
                wire.engine_count,
                0..=ENGINE_COUNT_MAX,
            )?,
        })
    }
}

impl From<StateWire> for ServiceState {
    fn from(wire: StateWire) -> Self {
        match wire {
            StateWire::Active => Self::Active,
            StateWire::Leaving => Self::Leaving,
        }
    }
}

impl From<ClassWire> for WorkClass {
    fn from(wire: ClassWire) -> Self {
        match wire {
            ClassWire::Interactive => Self::Interactive,
            ClassWire::Long => Self::Long,
        }
    }
}

impl From<RepeatabilityWire> for Repeatability {
    fn from(wire: RepeatabilityWire) -> Self {
        match wire {
            RepeatabilityWire::Idempotent => Self::Idempotent,
            RepeatabilityWire::NonIdempotent => Self::NonIdempotent,
        }
    }
}

impl From<EndpointKindWire> for EndpointKind {
    fn from(wire: EndpointKindWire) -> Self {
        match wire {
            EndpointKindWire::Engine => Self::Engine,
            EndpointKindWire::Service => Self::Service,
        }
    }
}

impl From<EndpointRoleWire> for EndpointRole {
    fn from(wire: EndpointRoleWire) -> Self {
        match wire {
            EndpointRoleWire::Full => Self::Full,
            EndpointRoleWire::Prefill => Self::Prefill,
            EndpointRoleWire::Decode => Self::Decode,
        }
    }
}
