//! Explanation steps of a call's routing, as operators see them.

use crate::catalog::Catalog;
use crate::catalog::VmKey;
use crate::operator::Candidate;
use crate::operator::CandidateOutcome;
use crate::operator::StepEvent;
use crate::routing::Exclusion;
use crate::routing::RouteChoice;
use crate::routing::RouteDecision;

/// Returns the step of a routing decision: the excluded endpoints and why, and the chosen one.
pub(super) fn weighed(catalog: &Catalog, decision: &RouteDecision) -> StepEvent {
    let excluded_candidates =
        decision
            .explanation
            .excluded_endpoints
            .iter()
            .filter_map(|excluded| {
                Some(Candidate {
                    name: catalog.endpoints.get(excluded.endpoint)?.name.clone(),
                    outcome: candidate_outcome(excluded.exclusion),
                })
            });
    let mut candidates: Vec<Candidate> = excluded_candidates.collect();
    if let RouteChoice::Local(endpoint) = decision.choice {
        candidates.extend(catalog.endpoints.get(endpoint).map(|endpoint| Candidate {
            name: endpoint.name.clone(),
            outcome: CandidateOutcome::Chosen,
        }));
    }
    StepEvent::Weighed { candidates }
}

/// Returns the step of a forward to `to`, or `None` if the VM is no longer in the catalog.
pub(super) fn forwarded(catalog: &Catalog, to: VmKey) -> Option<StepEvent> {
    let vm = catalog.vms.get(to)?;
    let region = catalog.regions.get(vm.region)?;
    Some(StepEvent::Forwarded {
        vm: vm.name.clone(),
        region: region.name.clone(),
    })
}

fn candidate_outcome(exclusion: Exclusion) -> CandidateOutcome {
    match exclusion {
        Exclusion::RegionNotAllowed => CandidateOutcome::RegionNotAllowed,
        Exclusion::WrongRole => CandidateOutcome::WrongRole,
        Exclusion::Leaving => CandidateOutcome::Leaving,
        Exclusion::AlreadyTried => CandidateOutcome::Failed,
        Exclusion::CoolingDown | Exclusion::NoServingVm => CandidateOutcome::Unreachable,
        Exclusion::OverMemory => CandidateOutcome::Full,
        Exclusion::RegionVisited | Exclusion::CrossingsSpent => CandidateOutcome::Visited,
    }
}
