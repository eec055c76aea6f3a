//! Renders validated values in their JSON form.

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
use crate::catalog::ApiKeySpec;
use crate::catalog::ClientAccountSpec;
use crate::catalog::EndpointKind;
use crate::catalog::EndpointRole;
use crate::catalog::EndpointSpec;
use crate::catalog::Name;
use crate::catalog::PlacementRuleSpec;
use crate::catalog::RegionSpec;
use crate::catalog::Repeatability;
use crate::catalog::RouteKind;
use crate::catalog::RouteSpec;
use crate::catalog::ServiceState;
use crate::catalog::VmSpec;
use crate::catalog::WorkClass;

impl From<&RegionSpec> for RegionWire {
    fn from(spec: &RegionSpec) -> Self {
        let links = spec.links.iter().map(|link| LinkWire {
            to: link.to.to_string(),
            one_way_us: link.one_way_us,
            bandwidth_bits_per_s: link.bandwidth_bits_per_s,
        });
        Self {
            availability_zones: texts(&spec.availability_zones),
            links: links.collect(),
        }
    }
}

impl From<&VmSpec> for VmWire {
    fn from(spec: &VmSpec) -> Self {
        Self {
            region: spec.region.to_string(),
            availability_zone: spec.availability_zone.to_string(),
            caller_address: spec.caller_address,
            peer_address: spec.peer_address,
            operator_address: spec.operator_address,
            state: spec.state.into(),
        }
    }
}

impl From<&ClientAccountSpec> for ClientAccountWire {
    fn from(spec: &ClientAccountSpec) -> Self {
        let region_shares = spec.region_shares.iter().map(|share| RegionShareWire {
            region: share.region.to_string(),
            weight: share.weight,
        });
        Self {
            allowed_regions: texts(&spec.allowed_regions),
            rate_tokens_per_s: spec.rate_tokens_per_s,
            burst_tokens: spec.burst_tokens,
            weight: spec.weight,
            region_shares: region_shares.collect(),
        }
    }
}

impl From<&ApiKeySpec> for ApiKeyWire {
    fn from(spec: &ApiKeySpec) -> Self {
        Self {
            client_account: spec.client_account.to_string(),
        }
    }
}

impl From<&RouteSpec> for RouteWire {
    fn from(spec: &RouteSpec) -> Self {
        let (kind, path_prefix) = match &spec.kind {
            RouteKind::Model => (RouteKindWire::Model, None),
            RouteKind::Service { path_prefix } => {
                (RouteKindWire::Service, Some(path_prefix.clone()))
            }
        };
        Self {
            kind,
            path_prefix,
            is_open: spec.is_open,
            class: spec.class.into(),
            repeatability: spec.repeatability.into(),
            deadline_ms: spec.deadline_ms,
            first_event_timeout_ms: spec.first_event_timeout_ms,
            silence_timeout_ms: spec.silence_timeout_ms,
            answer_max_tokens: spec.answer_max_tokens,
            call_cost_tokens: spec.call_cost_tokens,
        }
    }
}

impl From<&EndpointSpec> for EndpointWire {
    fn from(spec: &EndpointSpec) -> Self {
        Self {
            kind: spec.kind.into(),
            role: spec.role.into(),
            address: spec.address,
            region: spec.region.to_string(),
            availability_zone: spec.availability_zone.to_string(),
            routes: texts(&spec.routes),
            state: spec.state.into(),
            concurrency: spec.concurrency,
            checks_fencing: spec.checks_fencing,
        }
    }
}

impl From<&PlacementRuleSpec> for PlacementRuleWire {
    fn from(spec: &PlacementRuleSpec) -> Self {
        Self {
            route: spec.route.to_string(),
            region: spec.region.to_string(),
            version: spec.version.to_string(),
            engine_count: spec.engine_count,
        }
    }
}

impl From<ServiceState> for StateWire {
    fn from(state: ServiceState) -> Self {
        match state {
            ServiceState::Active => Self::Active,
            ServiceState::Leaving => Self::Leaving,
        }
    }
}

impl From<WorkClass> for ClassWire {
    fn from(class: WorkClass) -> Self {
        match class {
            WorkClass::Interactive => Self::Interactive,
            WorkClass::Long => Self::Long,
        }
    }
}

impl From<Repeatability> for RepeatabilityWire {
    fn from(repeatability: Repeatability) -> Self {
        match repeatability {
            Repeatability::Idempotent => Self::Idempotent,
            Repeatability::NonIdempotent => Self::NonIdempotent,
        }
    }
}

impl From<EndpointKind> for EndpointKindWire {
    fn from(kind: EndpointKind) -> Self {
        match kind {
            EndpointKind::Engine => Self::Engine,
            EndpointKind::Service => Self::Service,
        }
    }
}

impl From<EndpointRole> for EndpointRoleWire {
    fn from(role: EndpointRole) -> Self {
        match role {
            EndpointRole::Full => Self::Full,
            EndpointRole::Prefill => Self::Prefill,
            EndpointRole::Decode => Self::Decode,
        }
    }
}

fn texts(names: &[Name]) -> Vec<String> {
    names.iter().map(Name::to_string).collect()
}
