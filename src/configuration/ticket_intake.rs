//! Validates the tickets from the service and audits which were accepted or refused.

use super::ConfigurationAction;
use super::ConfigurationStore;
use super::ObjectRecord;
use super::RawTicket;
use super::RefusedTicket;
use super::RefusedTicketLog;
use super::Ticket;
use super::TicketError;
use crate::audit::AuditEvent;

/// Validates the tickets from the service and audits which were accepted or refused.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketIntake {
    refused: RefusedTicketLog,
}

impl TicketIntake {
    /// Returns the records of accepted tickets that are newer than those of `store`.
    pub(super) fn check(
        &mut self,
        tickets: &[RawTicket],
        store: &ConfigurationStore,
        out: &mut Vec<ConfigurationAction>,
    ) -> Vec<ObjectRecord> {
        let mut records = Vec::new();
        for raw in tickets {
            match Ticket::try_from(raw) {
                Ok(ticket) => records.extend(accept(ticket, store, out)),
                Err(reason) => self.refuse(raw, reason, out),
            }
        }
        records
    }

    /// Returns the most recently refused tickets, oldest first.
    pub(super) fn refused(&self) -> impl Iterator<Item = &RefusedTicket> {
        self.refused.iter()
    }

    fn refuse(&mut self, raw: &RawTicket, reason: TicketError, out: &mut Vec<ConfigurationAction>) {
        let ticket = raw.number;
        let text = reason.to_string();
        if self.refused.record(raw, reason) {
            audit(AuditEvent::TicketReceived { ticket }, out);
            let event = AuditEvent::TicketRefused {
                ticket,
                reason: text,
            };
            audit(event, out);
        }
    }
}

fn accept(
    ticket: Ticket,
    store: &ConfigurationStore,
    out: &mut Vec<ConfigurationAction>,
) -> Vec<ObjectRecord> {
    let changed: Vec<ObjectRecord> = ticket
        .records
        .into_iter()
        .filter(|record| store.is_newer(record))
        .collect();
    if !changed.is_empty() {
        let ticket = ticket.number;
        let changed_count = changed.len();
        audit(AuditEvent::TicketReceived { ticket }, out);
        let event = AuditEvent::TicketAccepted {
            ticket,
            changed_count,
        };
        audit(event, out);
    }
    changed
}

fn audit(event: AuditEvent, out: &mut Vec<ConfigurationAction>) {
    out.push(ConfigurationAction::Audit(event));
}
