//! Why endpoints were excluded from a choice.

use std::fmt;

use crate::catalog::EndpointKey;

const EXCLUDED_ENDPOINTS_MAX: usize = 16;

/// Why an endpoint was excluded from a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The account's requests may not run in the endpoint's region.
    RegionNotAllowed,
    /// The engine runs only the prefill or only the decode phase.
    WrongRole,
    /// It is draining and takes no new work.
    Leaving,
    /// An earlier attempt of the call on this VM chose it.
    AlreadyTried,
    /// Its circuit breaker is open after consecutive failures.
    CoolingDown,
    /// Its cache memory is full.
    OverMemory,
    /// The request was already forwarded from a VM of the endpoint's region.
    RegionVisited,
    /// It is in another region, and the request may not be forwarded again.
    CrossingsSpent,
    /// No VM of its region is known to be serving.
    NoServingVm,
}

/// An endpoint that was excluded, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExcludedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The first hard filter that it failed.
    pub exclusion: Exclusion,
}

/// The endpoints that a choice excluded: the first 16 one by one, the others as a count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// The number of endpoints that passed the hard filters.
    pub candidate_count: u32,
    /// The first excluded endpoints, at most 16.
    pub excluded_endpoints: Vec<ExcludedEndpoint>,
    /// The number of excluded endpoints beyond the first 16.
    pub further_excluded_count: u32,
}

impl Explanation {
    /// Records an excluded endpoint.
    pub fn exclude(&mut self, endpoint: EndpointKey, exclusion: Exclusion) {
        if self.excluded_endpoints.len() < EXCLUDED_ENDPOINTS_MAX {
            self.excluded_endpoints.push(ExcludedEndpoint {
                endpoint,
                exclusion,
            });
        } else {
            self.further_excluded_count += 1;
        }
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut exclusions: Vec<Exclusion> = self
            .excluded_endpoints
            .iter()
            .map(|excluded| excluded.exclusion)
            .collect();
        exclusions.sort_unstable();
        write!(f, "{} candidates", self.candidate_count)?;
        for group in exclusions.chunk_by(|a, b| a == b) {
            write!(f, ", {} excluded as {:?}", group.len(), group[0])?;
        }
        if self.further_excluded_count > 0 {
            write!(f, ", {} more excluded", self.further_excluded_count)?;
        }
        Ok(())
    }
}
