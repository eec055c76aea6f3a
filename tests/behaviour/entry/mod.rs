//! Whole daemons on loopback, with stand-ins for the platform.

mod cold_endpoints;
pub(crate) mod crash_site;
mod crashing_prompts;
mod crashing_requests;
mod disconnects;
mod endless_answers;
mod endpoint_faults;
mod endpoint_notices;
mod keys;
mod large_configurations;
mod large_listings;
mod left_endpoints;
mod odd_entries;
mod rate_limits;
mod repeated_refusals;
mod requests;
mod restored_store;
mod silent_endpoints;
mod silent_past_deadline;
mod stale_configurations;
mod stopping;
mod stream_heads;
pub(crate) mod support;
mod two_regions;
mod unframed_answers;
mod unread_bodies;
