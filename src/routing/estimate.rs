//! Estimates the time to the first event at an endpoint.

use std::time::Duration;

use super::attempt::prefix_hashes;
use super::attempt::prompt_tokens;
use super::EndpointLoad;
use super::RouteQuery;
use super::ServiceTimes;
use crate::catalog::Endpoint;
use crate::catalog::Link;
use crate::catalog::RegionKey;
use crate::clock::Monotonic;
use crate::request::CallBody;

const DEFAULT_ONE_WAY: Duration = Duration::from_millis(100);
const DEFAULT_BANDWIDTH_BITS_PER_S: u64 = 100_000_000;

/// Returns the expected time to the first event if the query's call goes to `endpoint`.
///
/// An engine shares its time between the requests of a batch, so prefill slows down with the number
/// of concurrent requests. `prior` is used for an endpoint whose service times this VM has not yet
/// measured.
pub fn expected_first_event(
    now: Monotonic,
    query: &RouteQuery<'_>,
    endpoint: &Endpoint,
    load: &EndpointLoad,
    prior: ServiceTimes,
) -> Duration {
    let service_times = load.service_times().unwrap_or(prior);
    let uncached = load.uncached_tokens(prompt_tokens(query.call), prefix_hashes(query.call));
    let prefill_tokens = load.pending_prompt_tokens() + uncached;
    let prefill = service_times
        .per_prompt_token
        .saturating_mul(u32::try_from(prefill_tokens).unwrap_or(u32::MAX));
    let requests = expected_requests(now, query, endpoint, load);
    let shared = prefill.saturating_mul(requests) / endpoint.concurrency.max(1);
    prefill
        + shared
        + waiting_time(requests, endpoint, service_times)
        + network_time(query, endpoint.region)
}

/// Returns the estimated number of requests of all VMs at an endpoint now.
fn expected_requests(
    now: Monotonic,
    query: &RouteQuery<'_>,
    endpoint: &Endpoint,
    load: &EndpointLoad,
) -> u32 {
    let others = match load.report(now) {
        Some(report) => report.others(),
        None => estimated_others(query, endpoint),
    };
    others + load.local_requests()
}

fn waiting_time(requests: u32, endpoint: &Endpoint, service_times: ServiceTimes) -> Duration {
    let concurrency = endpoint.concurrency.max(1);
    let ahead = (requests + 1).saturating_sub(concurrency);
    service_times.per_request * ahead / concurrency
}

/// Estimates the requests of other VMs at an endpoint without a fresh load report.
///
/// Assumes that the endpoint's utilization equals the mean load that the other serving VMs of its
/// region publish.
fn estimated_others(query: &RouteQuery<'_>, endpoint: &Endpoint) -> u32 {
    let loads: Vec<u32> = query
        .view
        .serving_in(query.catalog, endpoint.region)
        .filter(|vm| *vm != query.view.local_vm)
        .filter_map(|vm| query.view.vms.get(vm))
        .map(|vm| vm.load_permille)
        .collect();
    if loads.is_empty() {
        return 0;
    }
    let mean_permille = loads.iter().map(|load| u64::from(*load)).sum::<u64>() / loads.len() as u64;
    u32::try_from(u64::from(endpoint.concurrency) * mean_permille / 1_000).unwrap_or(u32::MAX)
}

/// Returns the round-trip and body transfer time of a call to `region`; zero in the local region.
pub(super) fn network_time(query: &RouteQuery<'_>, region: RegionKey) -> Duration {
    let Some(local) = query.local_region() else {
        return Duration::ZERO;
    };
    if local == region {
        return Duration::ZERO;
    }
    let link = query.catalog.link(local, region).unwrap_or(Link {
        to: region,
        one_way_us: DEFAULT_ONE_WAY.as_micros() as u64,
        bandwidth_bits_per_s: DEFAULT_BANDWIDTH_BITS_PER_S,
    });
    let transfer_us =
        body_bits(&query.call.body).saturating_mul(1_000_000) / link.bandwidth_bits_per_s.max(1);
    Duration::from_micros(2 * link.one_way_us + transfer_us)
}

fn body_bits(body: &CallBody) -> u64 {
    let bytes = match body {
        CallBody::Completion(call) => call.body.len(),
        CallBody::Service(call) => call.body.len(),
    };
    8 * bytes as u64
}
