//! Why no endpoint was chosen.

use std::time::Duration;

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlacement {
    /// No endpoint of the service takes requests here.
    NoneListed,
    /// All endpoints failed lately or have been tried.
    NoneTrusted {
        /// When one is tried again.
        retry_after: Duration,
    },
    /// The endpoints that are left are cold and have their share of requests.
    AllCold {
        /// When the next request may be sent.
        retry_after: Duration,
    },
}

impl NoPlacement {
    /// The time to come back when nothing is known of it: endpoints are replaced within seconds.
    pub(super) const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(1_000);

    /// Returns the reason of which a request learns: the one that passes first.
    pub(super) fn sooner(self, other: Self) -> Self {
        match (self, other) {
            (Self::NoneListed, _) => other,
            (_, Self::NoneListed) => self,
            _ if other.retry_after() < self.retry_after() => other,
            _ => self,
        }
    }

    /// Returns when a request may find an endpoint.
    pub const fn retry_after(self) -> Duration {
        match self {
            Self::NoneListed => Self::RETRY_AFTER_UNKNOWN,
            Self::NoneTrusted { retry_after } | Self::AllCold { retry_after } => retry_after,
        }
    }
}
