//! The border towards the platform.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use crate::catalog::Name;
use crate::catalog::ServiceState;
use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;

/// Reads what the platform publishes.
#[async_trait]
pub trait PlatformClient: Send + Sync {
    /// Reads all tickets above `after`; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is down, slow or answers something that does not parse.
    async fn tickets(
        &self,
        after: TicketNumber,
        wait: Duration,
    ) -> Result<TicketBatch, PlatformError>;

    /// Reads the list of live and leaving VMs; it lags.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is not to be had or does not parse.
    async fn vms(&self) -> Result<Vec<VmListEntry>, PlatformError>;
}

/// Tickets in the order in which the service sent them.
#[derive(Clone, Debug, Default)]
pub struct TicketBatch {
    /// The tickets, unchecked.
    pub tickets: Vec<RawTicket>,
}

/// One line of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListEntry {
    /// The name of the VM.
    pub vm: Name,
    /// Whether it is live or leaving.
    pub state: ServiceState,
}

/// The reason why the platform gave no answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The service could not be reached or gave no answer in time.
    #[error("the platform gave no answer: {reason}")]
    Unavailable {
        /// What went wrong.
        reason: String,
    },
    /// The answer did not parse.
    #[error("the platform's answer does not parse: {reason}")]
    Malformed {
        /// What went wrong.
        reason: String,
    },
}
