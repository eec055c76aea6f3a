//! Resolves a region to the addresses of the VMs that clients may connect to.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use http::header;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::Uri;

use super::edge_body::whole;
use super::EdgeBody;
use crate::clock::Monotonic;
use crate::deployment::RegionKey;
use crate::deployment::ZoneKey;
use crate::entry::EntryState;
use crate::fleet::choose_entry_vms;
use crate::platform::DirectoryAnswer;
use crate::platform::DirectoryQuery;

/// How long clients cache an answer: short, so that they soon see VMs that started or are draining.
const ANSWER_TTL_S: u64 = 2;

/// Answers a directory query of a client.
pub(super) fn resolve(state: &EntryState, target: &Uri) -> Response<EdgeBody> {
    let Some(query) = DirectoryQuery::decode(target, &state.settings.topology) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let region = query.region.unwrap_or(state.settings.region);
    let vms = entry_vms(state, state.now(), region, query.zone);
    if vms.is_empty() {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let port = state.settings.listeners.clients.port();
    let addresses = vms
        .into_iter()
        .take(DirectoryAnswer::ADDRESSES_MAX)
        .map(|ip| SocketAddr::from((ip, port)))
        .collect();
    let ttl_s = ANSWER_TTL_S.min(state.settings.bounds.directory_ttl_max.as_secs().max(1));
    match DirectoryAnswer::new(addresses, ttl_s).encode() {
        Ok(body) => {
            let mut response = Response::new(whole(body));
            response.headers_mut().insert(
                header::CONTENT_TYPE,
                HeaderValue::from_static("application/json"),
            );
            response
        }
        Err(error) => {
            log::error!(error:% = error; "encoding a directory answer failed");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

/// Returns VMs of a region that are ready, those of the client's zone first of all, or those of all other regions if it has none.
fn entry_vms(
    state: &EntryState,
    now: Monotonic,
    region: RegionKey,
    client_zone: Option<ZoneKey>,
) -> Vec<Ipv4Addr> {
    let fleet = state.fleet.borrow();
    let local = fleet.entry_candidates(now, region);
    if !local.is_empty() {
        return choose_entry_vms(&local, client_zone, state.settings.ip);
    }
    let others = state.settings.topology.regions();
    others
        .flat_map(|other| fleet.ready_in(now, other))
        .collect()
}

fn empty(status: StatusCode) -> Response<EdgeBody> {
    let mut response = Response::new(whole(""));
    *response.status_mut() = status;
    response
}
