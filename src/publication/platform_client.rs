//! The interface to the platform.

use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;

use crate::catalog::Name;
use crate::catalog::ServiceState;
use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;

/// Reads the tickets and the VM list that the platform publishes.
#[async_trait]
pub trait PlatformClient: Send + Sync {
    /// Reads a page of the tickets above `after`; waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the service is unavailable or its response is malformed.
    async fn tickets(
        &self,
        after: TicketNumber,
        wait: Duration,
    ) -> Result<TicketBatch, PlatformError>;

    /// Reads the list of live and leaving VMs, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is unavailable or malformed.
    async fn vms(&self) -> Result<Vec<VmListEntry>, PlatformError>;
}

/// A page of tickets, in the order in which the service returned them.
#[derive(Clone, Debug, Default)]
pub struct TicketBatch {
    /// The tickets, not yet validated.
    pub tickets: Vec<RawTicket>,
}

/// An entry of the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListEntry {
    /// The name of the VM.
    pub vm: Name,
    /// Whether it is live or leaving.
    pub state: ServiceState,
}

/// An error of a read from the platform.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The service could not be reached, timed out or returned an error status.
    #[error("the platform is unavailable: {reason}")]
    Unavailable {
        /// What went wrong.
        reason: String,
    },
    /// The response is malformed or too long.
    #[error("the platform's response is malformed: {reason}")]
    Malformed {
        /// What went wrong.
        reason: String,
    },
}
