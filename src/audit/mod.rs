//! The audit trail of configuration changes and of changes that the system makes by itself.
