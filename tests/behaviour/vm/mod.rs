//! Tests of whole VMs, as daemons with stand-ins and as simulated fleets in virtual time.

mod allowed_regions;
mod answer_length;
mod bookings;
mod cold_start;
mod core_fleet;
mod drain;
mod early_answers;
mod explanations;
mod failed_attempts;
mod key_revocation;
mod keys;
mod leaving_endpoint;
mod processes;
mod region_partition;
mod silent_endpoints;
mod support;
mod unpublished_vm;
mod whole_answers;
mod whole_path;
