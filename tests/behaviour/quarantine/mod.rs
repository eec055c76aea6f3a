//! Quarantine of the prompt parts that crash endpoints, in virtual time.

mod bystanders;
mod culprits;
mod fleet;
mod support;
