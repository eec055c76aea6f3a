//! Which endpoint and which region a request goes to.

mod cold_endpoints;
mod failures;
mod many_vms;
mod overload;
mod prompts;
mod regions;
mod support;
mod waits;
