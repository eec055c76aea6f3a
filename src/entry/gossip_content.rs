//! What a gossip datagram contains.

use std::net::Ipv4Addr;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::EntryState;
use crate::clock::Monotonic;
use crate::fleet::FleetMessage;
use crate::fleet::GossipPlan;
use crate::fleet::MessageCrashes;
use crate::fleet::MessageDigest;
use crate::fleet::MessageEnd;
use crate::fleet::MessageProcess;
use crate::fleet::MessageRate;
use crate::fleet::MessageVersions;
use crate::placement::RateKind;

/// The most ends of processes in a message.
const ENDS_MAX: usize = 128;

/// What a reply answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reply<'a> {
    pub(super) request: &'a FleetMessage,
    /// Whether the VM that asked holds an older listing.
    pub(super) has_listing: bool,
}

/// Returns a request, or a reply, to a VM.
pub(super) fn new_message(
    state: &EntryState,
    now: Monotonic,
    to: Ipv4Addr,
    reply: Option<Reply<'_>>,
) -> FleetMessage {
    let belief = state.belief.borrow();
    let fleet = state.fleet.borrow();
    let mut rng = state.rng.borrow_mut();
    let is_local = fleet.is_in_local_region(to);
    let has_listing = reply.is_some_and(|reply| reply.has_listing);
    FleetMessage {
        sent_at: now,
        request_sent_at: reply.map(|reply| reply.request.sent_at),
        digest: MessageDigest::new(&belief.digest(), now),
        rows: GossipPlan::rows(now, &fleet, to, &mut *rng),
        listing: has_listing.then(|| belief.listing().as_ref().clone()),
        crashes: {
            let quarantine = state.quarantine.borrow();
            MessageCrashes::new(&quarantine.reports(now, &mut *rng), now)
        },
        rates: rates(state, now, is_local, RateKind::Requests),
        refusal_rates: rates(state, now, is_local, RateKind::Refusals),
        versions: MessageVersions::new(&state.versions.borrow(), now),
        ends: ends(state, now, is_local, &mut *rng),
        processes: reply.map_or_else(Vec::new, |reply| processes(state, now, &reply.request.ends)),
    }
}

/// Returns the rates that endpoints named, for a VM of their region.
fn rates(state: &EntryState, now: Monotonic, is_local: bool, kind: RateKind) -> Vec<MessageRate> {
    if !is_local {
        return Vec::new();
    }
    let rates = state.endpoints.borrow().rates(kind).into_iter();
    rates.map(|rate| MessageRate::new(rate, now)).collect()
}

/// Returns the processes of endpoints that may have ended, for a VM of their region.
fn ends(state: &EntryState, now: Monotonic, is_local: bool, rng: &mut impl Rng) -> Vec<MessageEnd> {
    if !is_local {
        return Vec::new();
    }
    let ends = state.endpoints.borrow().ends(now).into_iter();
    let ends = ends.map(|end| MessageEnd::new(end, now));
    ends.sample(rng, ENDS_MAX)
}

/// Returns what this VM has seen of the processes that another VM takes to have ended.
fn processes(state: &EntryState, now: Monotonic, ended: &[MessageEnd]) -> Vec<MessageProcess> {
    let uncertain = ended.iter().filter(|end| !end.is_certain);
    let endpoints = state.endpoints.borrow();
    let sightings = endpoints.sightings(uncertain.map(|end| end.endpoint));
    let sightings = sightings.into_iter();
    sightings
        .map(|seen| MessageProcess::new(seen, now))
        .collect()
}
