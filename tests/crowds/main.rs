//! Crowds of clients that stay outside the limits, against the system's own processes.
//!
//! One test runs at a time, in a test binary of its own, so that no other load changes what a process
//! holds. The checks don't depend on the speed of the machine.

mod crowd;
mod entry_doors;
mod entry_process;
mod inside_limits;
mod serve_doors;
mod serve_process;
mod sockets;
