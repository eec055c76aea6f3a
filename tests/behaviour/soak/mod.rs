//! Whole daemons under random, overlapping faults, checked by what clients receive and what
//! endpoints run.
//!
//! `FIGRAMP_SOAK_SEEDS=100-149` runs more seeds by hand, `FIGRAMP_SOAK_VMS=60` with more daemons;
//! `FIGRAMP_SOAK_RESTORATIONS=1` also restores the store from backups; with `FIGRAMP_SOAK_NOTICES=1`
//! endpoints also announce that they stop, or want no requests for a time; `FIGRAMP_SOAK_CRASHES=1`
//! sends prompts that crash endpoints, `FIGRAMP_SOAK_UNFRAMED=1` ends streams with their connection,
//! `FIGRAMP_SOAK_SILENCES=1` lets endpoints fall silent for a time,
//! `FIGRAMP_SOAK_CRASHING_REQUESTS=1` repeats requests that crash endpoints,
//! `FIGRAMP_SOAK_COPIES=1` lets endpoints write copies of refusals;
//! with `FIGRAMP_SOAK_RETURNS=1` engines crash and start again under their identifier;
//! `FIGRAMP_TEST_LOGS` names a directory for the logs of the daemons and for what failed in a run.

mod checks;
mod clients;
mod copies;
mod crashing_prompts;
mod crashing_requests;
mod endpoint_slot;
mod faults;
mod history;
mod loopback_proxy;
mod named_rates;
mod notice_checks;
mod notices;
mod restorations;
mod return_checks;
mod returns;
mod run_options;
mod runs;
mod silences;
mod vm_slot;
mod world;
