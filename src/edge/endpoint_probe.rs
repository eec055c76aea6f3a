//! Probes whether endpoints answer at all.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use tokio::time::timeout;

use super::UpstreamError;
use crate::entry::EntryState;
use crate::placement::ProbeOutcome;
use crate::platform::probe_request;
use crate::telemetry::ByteKind;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes endpoints at the same time and returns what the best answer shows.
pub async fn probe(state: &Rc<EntryState>, addresses: &[SocketAddr]) -> ProbeOutcome {
    let outcomes = join_all(addresses.iter().map(|address| probe_one(state, *address))).await;
    let is_any = |expected| outcomes.contains(&expected);
    if is_any(ProbeOutcome::Answered) {
        ProbeOutcome::Answered
    } else if is_any(ProbeOutcome::Silent) {
        ProbeOutcome::Silent
    } else {
        ProbeOutcome::Unreachable
    }
}

async fn probe_one(state: &EntryState, address: SocketAddr) -> ProbeOutcome {
    let bytes = state.metrics.bytes(ByteKind::Endpoints, None);
    let connecting = state.connection_pool.connect(state.now(), address, &bytes);
    let connected = timeout(CONNECT_TIMEOUT, connecting).await;
    let Ok(Ok(mut connection)) = connected else {
        return ProbeOutcome::Unreachable;
    };
    let request = probe_request(address).map(|()| Full::<Bytes>::default());
    match timeout(ANSWER_TIMEOUT, connection.send(request)).await {
        Ok(Ok(_)) => ProbeOutcome::Answered,
        Ok(Err(error)) => on_failed(&error),
        Err(_) => ProbeOutcome::Silent,
    }
}

fn on_failed(error: &UpstreamError) -> ProbeOutcome {
    log::debug!(error:% = error; "a probe of an endpoint failed");
    ProbeOutcome::Unreachable
}
