//! Quarantine of the requests and prompt parts that crash endpoints, in virtual time.

mod bystanders;
mod culprits;
mod fingerprints;
mod fleet;
mod outages;
mod support;
