//! The changes that the audit trail records.

use std::fmt;

use crate::catalog::Name;
use crate::catalog::TicketNumber;

/// A change of the configuration, or one that the system made by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AuditEvent {
    /// A change ticket arrived for the first time.
    TicketReceived {
        /// The ticket.
        ticket: TicketNumber,
    },
    /// A change ticket passed its check.
    TicketAccepted {
        /// The ticket.
        ticket: TicketNumber,
        /// The number of objects that it changes here.
        changed_count: usize,
    },
    /// A change ticket was refused as a whole.
    TicketRefused {
        /// The ticket.
        ticket: TicketNumber,
        /// The object, the field and what was expected.
        reason: String,
    },
    /// All that is known up to a ticket is in force at this VM.
    TicketInForce {
        /// The ticket.
        ticket: TicketNumber,
    },
    /// The configuration service stopped answering.
    ServiceLost {
        /// What went wrong.
        reason: String,
    },
    /// The configuration service answers again.
    ServiceBack,
    /// This VM began to watch the configuration service.
    WatchStarted,
    /// This VM left the watch to others.
    WatchStopped,
    /// The VM has learned the configuration from its peers.
    BootedWithPeers {
        /// The number of peers that have the same state.
        peer_count: usize,
    },
    /// No peer answered in time; the VM serves with what it has.
    BootedWithoutPeers,
    /// The process did not run for a while.
    PauseNoticed {
        /// The length, in milliseconds.
        gap_ms: u64,
    },
    /// A VM outside the published roster proved the peer secret.
    VmIntroduced {
        /// The VM.
        vm: Name,
    },
    /// Heartbeats of a VM stopped.
    VmLost {
        /// The VM.
        vm: Name,
    },
    /// Heartbeats of a VM arrive again.
    VmBack {
        /// The VM.
        vm: Name,
    },
    /// An endpoint gets no new work.
    EndpointTakenOut {
        /// The endpoint.
        endpoint: Name,
        /// Why.
        reason: String,
    },
    /// An endpoint gets work again.
    EndpointTakenBack {
        /// The endpoint.
        endpoint: Name,
    },
    /// This VM became the home of the tokens of some shards of client accounts.
    LeaseAcquired {
        /// The number of shards.
        shard_count: usize,
    },
    /// This VM gave up being the home of some shards of client accounts.
    LeaseLost {
        /// The number of shards.
        shard_count: usize,
    },
    /// An order was given to an endpoint.
    OrderGiven {
        /// The endpoint.
        endpoint: Name,
        /// The model.
        model: Name,
        /// The version.
        version: Name,
        /// The fencing number.
        fencing: TicketNumber,
    },
    /// An endpoint refused an order, as it knows a higher fencing number.
    OrderFenced {
        /// The endpoint.
        endpoint: Name,
        /// The highest number that it knows.
        highest: TicketNumber,
    },
    /// The VM takes no new work and finishes what runs.
    DrainStarted {
        /// The number of running requests.
        running_count: usize,
    },
}

impl AuditEvent {
    /// Returns the stable code of the event.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::TicketReceived { .. } => "ticket_received",
            Self::TicketAccepted { .. } => "ticket_accepted",
            Self::TicketRefused { .. } => "ticket_refused",
            Self::TicketInForce { .. } => "ticket_in_force",
            Self::ServiceLost { .. } => "service_lost",
            Self::ServiceBack => "service_back",
            Self::WatchStarted => "watch_started",
            Self::WatchStopped => "watch_stopped",
            Self::BootedWithPeers { .. } => "booted_with_peers",
            Self::BootedWithoutPeers => "booted_without_peers",
            Self::PauseNoticed { .. } => "pause_noticed",
            Self::VmIntroduced { .. } => "vm_introduced",
            Self::VmLost { .. } => "vm_lost",
            Self::VmBack { .. } => "vm_back",
            Self::EndpointTakenOut { .. } => "endpoint_taken_out",
            Self::EndpointTakenBack { .. } => "endpoint_taken_back",
            Self::LeaseAcquired { .. } => "lease_acquired",
            Self::LeaseLost { .. } => "lease_lost",
            Self::OrderGiven { .. } => "order_given",
            Self::OrderFenced { .. } => "order_fenced",
            Self::DrainStarted { .. } => "drain_started",
        }
    }

    /// Returns the ticket that the event belongs to, if there is one.
    pub const fn ticket(&self) -> Option<TicketNumber> {
        match self {
            Self::TicketReceived { ticket }
            | Self::TicketAccepted { ticket, .. }
            | Self::TicketRefused { ticket, .. }
            | Self::TicketInForce { ticket }
            | Self::OrderGiven {
                fencing: ticket, ..
            }
            | Self::OrderFenced {
                highest: ticket, ..
            } => Some(*ticket),
            _ => None,
        }
    }
}

impl fmt::Display for AuditEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TicketReceived { ticket } => write!(f, "ticket {ticket} received"),
            Self::TicketAccepted {
                ticket,
                changed_count,
            } => write!(
                f,
                "ticket {ticket} accepted, {changed_count} objects changed"
            ),
            Self::TicketRefused { reason, .. } => write!(f, "refused: {reason}"),
            Self::TicketInForce { ticket } => write!(f, "ticket {ticket} in force"),
            Self::ServiceLost { reason } => write!(f, "configuration service lost: {reason}"),
            Self::ServiceBack => f.write_str("configuration service back"),
            Self::WatchStarted => f.write_str("watching the configuration service"),
            Self::WatchStopped => f.write_str("left the watch to other VMs"),
            Self::BootedWithPeers { peer_count } => {
                write!(f, "ready, same configuration as {peer_count} peers")
            }
            Self::BootedWithoutPeers => f.write_str("ready without an answer from peers"),
            Self::PauseNoticed { gap_ms } => write!(f, "process was paused for {gap_ms} ms"),
            Self::VmIntroduced { vm } => write!(f, "VM {vm} introduced itself"),
            Self::VmLost { vm } => write!(f, "VM {vm} lost"),
            Self::VmBack { vm } => write!(f, "VM {vm} back"),
            Self::EndpointTakenOut { endpoint, reason } => {
                write!(f, "endpoint {endpoint} taken out: {reason}")
            }
            Self::EndpointTakenBack { endpoint } => write!(f, "endpoint {endpoint} taken back"),
            Self::LeaseAcquired { shard_count } => {
                write!(
                    f,
                    "home of the tokens of {shard_count} more shards of accounts"
                )
            }
            Self::LeaseLost { shard_count } => {
                write!(
                    f,
                    "no longer home of the tokens of {shard_count} shards of accounts"
                )
            }
            Self::OrderGiven {
                endpoint,
                model,
                version,
                fencing,
            } => write!(
                f,
                "ordered {endpoint} to load {model} {version}, fencing {fencing}"
            ),
            Self::OrderFenced { endpoint, highest } => {
                write!(f, "{endpoint} refused an order, it knows fencing {highest}")
            }
            Self::DrainStarted { running_count } => {
                write!(f, "draining, {running_count} requests running")
            }
        }
    }
}
