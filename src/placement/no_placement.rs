//! The reasons for choosing no endpoint.

use std::time::Duration;

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoPlacement {
    /// No endpoint of the service accepts requests in the local region.
    NoneListed,
    /// All endpoints are in backoff, were tried, or have as many requests of this VM as allowed.
    NoneTrusted {
        /// The time until one of them may be tried again.
        retry_after: Duration,
    },
    /// The remaining endpoints take a limited rate, and this VM may not send them a request now.
    AllLimited {
        /// The time until the next request may be sent.
        retry_after: Duration,
    },
}

impl NoPlacement {
    /// The retry time where none is known: endpoints are replaced within seconds.
    pub(super) const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(1_000);

    /// Returns the reason with the earlier retry, which is the one that is reported.
    pub(super) fn sooner(self, other: Self) -> Self {
        match (self, other) {
            (Self::NoneListed, _) => other,
            (_, Self::NoneListed) => self,
            _ if other.retry_after() < self.retry_after() => other,
            _ => self,
        }
    }

    /// Returns the time after which a retry may find an endpoint.
    pub const fn retry_after(self) -> Duration {
        match self {
            Self::NoneListed => Self::RETRY_AFTER_UNKNOWN,
            Self::NoneTrusted { retry_after } | Self::AllLimited { retry_after } => retry_after,
        }
    }
}
