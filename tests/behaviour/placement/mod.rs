//! The choice of the endpoint and the region of a request.

mod backlogs;
mod cold_endpoints;
mod failures;
mod many_vms;
mod notices;
mod overload;
mod process_ends;
mod prompts;
mod reach;
mod region_loads;
mod regions;
mod request_ranks;
mod shared_prefixes;
mod shared_rates;
mod software_versions;
mod support;
mod waits;
