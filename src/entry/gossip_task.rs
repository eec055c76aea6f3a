//! Exchanges gossip datagrams with other VMs.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::time::interval;
use tokio::time::sleep_until;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use super::gossip_content::new_message;
use super::gossip_content::Reply;
use super::store_task::apply_configuration;
use super::EntryState;
use crate::belief::BeliefDigest;
use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::edge::fetch_configuration;
use crate::edge::fetch_listing;
use crate::fleet::decode_message;
use crate::fleet::encode_message;
use crate::fleet::ConfigurationFetch;
use crate::fleet::EndpointEnd;
use crate::fleet::FleetMessage;
use crate::fleet::FleetWireError;
use crate::fleet::GossipPlan;
use crate::fleet::PeerClocks;
use crate::placement::RateKind;
use crate::telemetry::ByteKind;

/// The shortest time between two sets of requests beside the rounds, for news that can't wait.
const PUSH_INTERVAL_MIN: Duration = Duration::from_millis(50);

/// The longest payload of a UDP datagram over IPv4.
const DATAGRAM_MAX_BYTES: usize = 65_507;

/// Sends gossip requests to other VMs in rounds and replies to theirs.
pub(super) struct GossipTask {
    state: Rc<EntryState>,
    socket: UdpSocket,
    plan: GossipPlan,
    requests_sent_at: HashMap<Ipv4Addr, Monotonic>,
    peer_clocks: PeerClocks,
    is_fetching_listing: Rc<Cell<bool>>,
    configuration_fetch: Rc<RefCell<ConfigurationFetch>>,
}

impl GossipTask {
    /// Creates the task over a bound socket.
    pub(super) fn new(state: Rc<EntryState>, socket: UdpSocket) -> Self {
        let seeds = state.settings.seeds.iter().filter_map(|seed| match seed {
            SocketAddr::V4(seed) => Some(*seed.ip()),
            SocketAddr::V6(_) => None,
        });
        let plan = GossipPlan::new(seeds);
        Self {
            state,
            socket,
            plan,
            requests_sent_at: HashMap::new(),
            peer_clocks: PeerClocks::default(),
            is_fetching_listing: Rc::default(),
            configuration_fetch: Rc::default(),
        }
    }

    pub(super) async fn run(mut self) {
        let state = Rc::clone(&self.state);
        let mut pushed_at = Instant::now();
        let mut push_at = None;
        let mut rounds = interval(GossipPlan::PERIOD);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                _ = rounds.tick() => self.start_round(),
                () = state.gossip_now.notified() => {
                    push_at.get_or_insert(pushed_at + PUSH_INTERVAL_MIN);
                }
                () = sleep_until(push_at.unwrap_or(pushed_at)), if push_at.is_some() => {
                    push_at = None;
                    pushed_at = Instant::now();
                    self.push();
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, SocketAddr::V4(from))) => {
                        self.on_datagram(*from.ip(), &buffer[..length]);
                    }
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) => log::debug!(error:% = error; "receiving a datagram failed"),
                },
            }
        }
    }

    /// Sends a gossip request to each target of this round.
    fn start_round(&mut self) {
        let now = self.state.now();
        self.state.refresh_row(now);
        self.state.refresh_streams(now);
        self.state.connection_pool.discard_stale(now);
        let targets = {
            let fleet = self.state.fleet.borrow();
            let mut rng = self.state.rng.borrow_mut();
            self.plan.targets(now, &fleet, &mut *rng)
        };
        self.send_requests(now, targets);
    }

    /// Sends a gossip request to some VMs of the region before the next round.
    fn push(&mut self) {
        let now = self.state.now();
        let targets = {
            let fleet = self.state.fleet.borrow();
            let mut rng = self.state.rng.borrow_mut();
            GossipPlan::push_targets(now, &fleet, &mut *rng)
        };
        self.send_requests(now, targets);
    }

    fn send_requests(&mut self, now: Monotonic, targets: impl IntoIterator<Item = Ipv4Addr>) {
        for target in targets {
            self.requests_sent_at.insert(target, now);
            self.send(target, now, None);
        }
    }

    fn send(&self, to: Ipv4Addr, now: Monotonic, reply: Option<Reply<'_>>) {
        let message = new_message(&self.state, now, to, reply);
        let bytes = match encode_datagram(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "encoding a datagram failed");
                return;
            }
        };
        let counter = self.state.vm_bytes(ByteKind::Gossip, to);
        let to = SocketAddr::from((to, self.state.settings.listeners.gossip_port));
        // A datagram can be lost anyway; the next round sends the same state again.
        match self.socket.try_send_to(&bytes, to) {
            Ok(sent) => counter.add(sent),
            Err(error) => log::debug!(to:% = to, error:% = error; "sending a datagram failed"),
        }
    }

    fn on_datagram(&mut self, from: Ipv4Addr, bytes: &[u8]) {
        let message = match decode_message(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(from:% = from, error:% = error; "dropped an invalid datagram");
                return;
            }
        };
        let now = self.state.now();
        self.merge_rows(now, from, &message);
        let crashes = message.crashes.received(now);
        self.state.on_crashes_reported(now, crashes);
        for (kind, rates) in [
            (RateKind::Requests, &message.rates),
            (RateKind::Refusals, &message.refusal_rates),
        ] {
            let rates = rates.iter().map(|rate| rate.received(now));
            self.state.on_rates_reported(kind, rates);
        }
        let mut versions = self.state.versions.borrow_mut();
        let asked_at = self.asked_at(from, &message);
        message.versions.merge_into(&mut versions, now, asked_at);
        drop(versions);
        let incarnation = message.rows.first().map_or(0, |row| row.incarnation);
        let clocks = &mut self.peer_clocks;
        let sent_at = clocks.sending_time(now, from, incarnation, message.sent_at);
        let ends = message.ends.iter().map(|end| end.received(sent_at));
        let ends: Vec<EndpointEnd> = ends.collect();
        match (message.request_sent_at, asked_at) {
            (None, _) => self.reply(now, from, &message),
            (Some(_), Some(asked_at)) => self.on_reply(now, from, asked_at, message),
            (Some(_), None) => {}
        }
        // The listing of a reply may be the first one that contains their endpoints.
        self.state.on_ends_reported(ends);
    }

    /// Returns when the request was sent that a message answers; `None` if it answers none, or not the last.
    fn asked_at(&self, from: Ipv4Addr, message: &FleetMessage) -> Option<Monotonic> {
        // The wire format truncates times to milliseconds, so the time recorded here is used.
        let pending = self.requests_sent_at.get(&from).copied()?;
        let echoed = message.request_sent_at?;
        Some(pending).filter(|sent_at| sent_at.as_ms() == echoed.as_ms())
    }

    fn merge_rows(&self, now: Monotonic, from: Ipv4Addr, message: &FleetMessage) {
        let belief = self.state.belief.borrow();
        let mut fleet = self.state.fleet.borrow_mut();
        let mut quota = self.state.quota.borrow_mut();
        let mut endpoints = self.state.endpoints.borrow_mut();
        for row in &message.rows {
            if !fleet.merge(now, row, row.ip == from) {
                continue;
            }
            endpoints.on_peer_backlogs(now, row.ip, &row.backlogs);
            if let Some(deployment) = belief.deployment() {
                quota.on_row(now, row, deployment);
            }
        }
    }

    fn reply(&self, now: Monotonic, from: Ipv4Addr, request: &FleetMessage) {
        let digest = self.state.belief.borrow().digest();
        let has_listing = digest.listing_version > request.digest.listing_version
            && digest.listing_hash != request.digest.listing_hash;
        let reply = Reply {
            request,
            has_listing,
        };
        self.send(from, now, Some(reply));
        if request.digest.configuration_version > digest.configuration_version {
            self.fetch_configuration(now, from, BeliefDigest::default());
        }
    }

    fn on_reply(
        &mut self,
        now: Monotonic,
        from: Ipv4Addr,
        request_sent_at: Monotonic,
        message: FleetMessage,
    ) {
        self.state
            .fleet
            .borrow_mut()
            .on_round_trip(from, now.since(request_sent_at));
        let processes = message.processes.iter();
        let sightings = processes.map(|process| process.received(now, request_sent_at));
        self.state
            .endpoints
            .borrow_mut()
            .on_peer_sightings(sightings);
        let digest = message.digest.received(Some(request_sent_at));
        let updates = self.state.belief.borrow_mut().compare(now, &digest);
        let has_listing = message.listing.is_some();
        if let Some(listing) = message.listing {
            apply_listing(&self.state, from, &digest, listing);
        }
        if updates.has_newer_configuration {
            self.fetch_configuration(now, from, digest);
        }
        if updates.has_newer_listing && !has_listing {
            self.fetch_listing(from);
        }
        self.state.listing_confirmed.notify_waiters();
    }

    /// Fetches a listing that did not fit into a datagram; at most one fetch runs at a time.
    fn fetch_listing(&self, from: Ipv4Addr) {
        if self.is_fetching_listing.replace(true) {
            return;
        }
        let state = Rc::clone(&self.state);
        let is_fetching = Rc::clone(&self.is_fetching_listing);
        tokio::task::spawn_local(async move {
            let request_sent_at = state.now();
            let address = state.peer_address(from);
            match fetch_listing(&state, address).await {
                Ok(bytes) => on_listing_fetched(&state, from, request_sent_at, &bytes),
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "fetching a listing failed");
                    state.read_now.notify_one();
                }
            }
            is_fetching.set(false);
        });
    }

    /// Fetches a newer configuration from a peer whose digest has its version, if it is time to.
    fn fetch_configuration(&self, now: Monotonic, from: Ipv4Addr, digest: BeliefDigest) {
        let (distance, fetches_for_zone) = {
            let fleet = self.state.fleet.borrow();
            (fleet.distance(from), fleet.fetches_for_zone(now))
        };
        let mut fetch = self.configuration_fetch.borrow_mut();
        if !fetch.try_start(now, distance, fetches_for_zone) {
            return;
        }
        let state = Rc::clone(&self.state);
        let fetch = Rc::clone(&self.configuration_fetch);
        tokio::task::spawn_local(async move {
            let address = state.peer_address(from);
            let fetched = fetch_configuration(&state, address).await;
            fetch.borrow_mut().on_ended(fetched.is_ok());
            match fetched {
                Ok(encoded) => on_configuration_fetched(&state, encoded, &digest),
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "fetching a configuration failed");
                    state.read_now.notify_one();
                }
            }
        });
    }
}

fn on_configuration_fetched(state: &EntryState, encoded: Bytes, digest: &BeliefDigest) {
    let now = state.now();
    let is_newer = apply_configuration(state, encoded, None);
    // Whether newer content exists is seen again in the next round.
    let _ = state.belief.borrow_mut().compare(now, digest);
    if is_newer {
        state.on_belief_changed(now);
    }
}

/// Encodes a message; a listing that does not fit is omitted, and the other VM fetches it.
fn encode_datagram(mut message: FleetMessage) -> Result<Vec<u8>, FleetWireError> {
    let bytes = encode_message(&message)?;
    if bytes.len() <= DATAGRAM_MAX_BYTES {
        return Ok(bytes);
    }
    message.listing = None;
    encode_message(&message)
}

fn on_listing_fetched(
    state: &EntryState,
    from: Ipv4Addr,
    request_sent_at: Monotonic,
    bytes: &[u8],
) {
    match decode_message(bytes) {
        Ok(message) => {
            let digest = message.digest.received(Some(request_sent_at));
            if let Some(listing) = message.listing {
                apply_listing(state, from, &digest, listing);
            }
        }
        Err(error) => log::warn!(from:% = from, error:% = error; "dropped an invalid listing"),
    }
}

fn apply_listing(
    state: &EntryState,
    from: Ipv4Addr,
    digest: &BeliefDigest,
    listing: EndpointListing,
) {
    let Some(confirmed_at) = digest.listing_confirmed_at else {
        return;
    };
    let version = digest.listing_version;
    let now = state.now();
    let mut belief = state.belief.borrow_mut();
    let is_changed = belief.apply_peer_listing(now, confirmed_at, version, listing);
    drop(belief);
    if is_changed {
        log::info!(
            from:% = from,
            era = version.era,
            revision = version.revision;
            "applied a peer's listing"
        );
        state.on_belief_changed(now);
    }
}
