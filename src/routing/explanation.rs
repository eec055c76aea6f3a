//! Why endpoints were left out of a choice.

use std::fmt;

use crate::catalog::EndpointKey;

const NOTES_MAX: usize = 16;

/// Why an endpoint was left out of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exclusion {
    /// The account's requests may not run in its region.
    RegionNotAllowed,
    /// It does only a part of the work.
    WrongRole,
    /// It is leaving.
    Leaving,
    /// It was tried before.
    AlreadyTried,
    /// It failed several times in a row.
    CoolingDown,
    /// Its cache memory is full.
    OverMemory,
    /// The request has passed its region.
    RegionVisited,
    /// The request may not cross to another VM again.
    CrossingsSpent,
    /// No VM of its region is known to serve.
    NoServingVm,
}

/// One endpoint that was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExcludedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Why it was left out.
    pub exclusion: Exclusion,
}

/// What a choice left out; the first few endpoints by name, the others by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// The endpoints that remained.
    pub candidate_count: u32,
    /// The endpoints that were left out, at most 16.
    pub excluded_endpoints: Vec<ExcludedEndpoint>,
    /// The number of further endpoints that were left out.
    pub further_excluded_count: u32,
}

impl Explanation {
    /// Adds an endpoint that was left out.
    pub fn exclude(&mut self, endpoint: EndpointKey, exclusion: Exclusion) {
        if self.excluded_endpoints.len() < NOTES_MAX {
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
            .map(|note| note.exclusion)
            .collect();
        exclusions.sort_unstable();
        write!(f, "{} candidates", self.candidate_count)?;
        for group in exclusions.chunk_by(|a, b| a == b) {
            write!(f, ", {} left out as {:?}", group.len(), group[0])?;
        }
        if self.further_excluded_count > 0 {
            write!(f, ", {} further left out", self.further_excluded_count)?;
        }
        Ok(())
    }
}
