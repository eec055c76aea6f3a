//! Tests of whole VMs.

mod whole_path;
