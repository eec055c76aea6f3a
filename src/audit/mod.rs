//! The audit trail of configuration changes and of changes that the system makes by itself.

mod event;
mod trail;

pub use event::AuditEvent;
pub use trail::AuditEntry;
pub use trail::AuditTrail;
