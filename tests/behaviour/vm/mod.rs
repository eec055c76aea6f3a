//! Tests of whole VMs.

mod allowed_regions;
mod bookings;
mod drain;
mod explanations;
mod key_withdrawal;
mod support;
mod whole_answers;
mod whole_path;
