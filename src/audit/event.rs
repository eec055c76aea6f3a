//! The events that the audit trail records.

use std::fmt;

use crate::catalog::Name;
use crate::catalog::TicketNumber;

/// A configuration change, or a change that the system made by itself.
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
        /// The object and the field that are wrong, and the expected value.
        reason: String,
    },
    /// This VM applied the configuration up to and including a ticket.
    TicketInForce {
        /// The ticket.
        ticket: TicketNumber,
    },
    /// The configuration service stopped responding.
    ServiceLost {
        /// The error.
        reason: String,
    },
    /// The configuration service responds again.
    ServiceBack,
    /// This VM started to watch the configuration service.
    WatchStarted,
    /// This VM stopped watching the configuration service; other VMs watch it.
    WatchStopped,
    /// The VM starts with the same configuration as its peers.
    BootedWithPeers {
        /// The number of peers with that configuration.
        peer_count: usize,
    },
    /// No peer responded in time; the VM starts with the configuration that it has.
    BootedWithoutPeers,
    /// The process was paused, for example with its VM.
    PauseNoticed {
        /// The length of the pause, in milliseconds.
        gap_ms: u64,
    },
    /// A VM outside the published roster authenticated itself with the peer secret.
    VmIntroduced {
        /// The VM.
        vm: Name,
    },
    /// The heartbeats of a VM stopped; it is considered dead.
    VmLost {
        /// The VM.
        vm: Name,
    },
    /// The heartbeats of a VM arrive again.
    VmBack {
        /// The VM.
        vm: Name,
    },
    /// The circuit breaker of an endpoint opened: the endpoint gets no new requests until
    /// the cool-down ends.
    EndpointTakenOut {
        /// The endpoint.
        endpoint: Name,
        /// The failures that led to it.
        reason: String,
    },
    /// The circuit breaker of an endpoint closed: the endpoint gets requests again.
    EndpointTakenBack {
        /// The endpoint.
        endpoint: Name,
    },
    /// This VM became the home VM of some shards of client accounts.
    LeaseAcquired {
        /// The number of shards.
        shard_count: usize,
    },
    /// This VM is no longer the home VM of some shards of client accounts.
    LeaseLost {
        /// The number of shards.
        shard_count: usize,
    },
    /// This VM ordered an endpoint to load a version of a model.
    OrderGiven {
        /// The endpoint.
        endpoint: Name,
        /// The model.
        model: Name,
        /// The version of the model.
        version: Name,
        /// The fencing token.
        fencing: TicketNumber,
    },
    /// An endpoint refused an order because it has seen a higher fencing token.
    OrderFenced {
        /// The endpoint.
        endpoint: Name,
        /// The highest fencing token that it has seen.
        highest: TicketNumber,
    },
    /// The VM is draining: it accepts no new requests and finishes the running ones.
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

    /// Returns the ticket that the event belongs to, if any.
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
            Self::WatchStopped => f.write_str("no longer watching the configuration service"),
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
                "ordered {endpoint} to load {model} {version}, fencing token {fencing}"
            ),
            Self::OrderFenced { endpoint, highest } => {
                write!(
                    f,
                    "{endpoint} refused an order, its highest fencing token is {highest}"
                )
            }
            Self::DrainStarted { running_count } => {
                write!(f, "draining, {running_count} requests running")
            }
        }
    }
}
