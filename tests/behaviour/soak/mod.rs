//! Daemons under random faults from outside, all at once, checked by what clients and endpoints
//! see.
//!
//! `FIGRAMP_SOAK_SEEDS=100-149` runs more seeds by hand, `FIGRAMP_SOAK_VMS=60` with more daemons;
//! `FIGRAMP_TEST_LOGS` names a directory for the logs of the daemons.

mod checks;
mod clients;
mod faults;
mod history;
mod loopback_proxy;
mod runs;
mod world;
