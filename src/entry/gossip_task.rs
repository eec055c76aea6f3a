//! Exchanges datagrams with other VMs.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::time::interval;
use tokio::time::MissedTickBehavior;

use super::store_task::take_configuration;
use super::EntryState;
use crate::belief::BeliefDigest;
use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::edge::fetch_configuration;
use crate::edge::fetch_listing;
use crate::fleet::decode_message;
use crate::fleet::encode_message;
use crate::fleet::FleetMessage;
use crate::fleet::FleetWireError;
use crate::fleet::GossipPlan;
use crate::fleet::MessageDigest;

/// The longest datagram: what UDP over IPv4 carries.
const DATAGRAM_MAX_BYTES: usize = 65_507;

/// Asks other VMs in rounds and answers their questions, for ever.
pub(super) struct GossipTask {
    state: Rc<EntryState>,
    socket: UdpSocket,
    plan: GossipPlan,
    asked: HashMap<Ipv4Addr, Monotonic>,
    is_fetching_listing: Rc<Cell<bool>>,
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
            asked: HashMap::new(),
            is_fetching_listing: Rc::default(),
        }
    }

    pub(super) async fn run(mut self) {
        let mut rounds = interval(GossipPlan::PERIOD);
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            tokio::select! {
                _ = rounds.tick() => self.ask(),
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, SocketAddr::V4(from))) => {
                        self.take(*from.ip(), &buffer[..length]);
                    }
                    Ok((_, SocketAddr::V6(_))) => {}
                    Err(error) => log::debug!(error:% = error; "no datagram"),
                },
            }
        }
    }

    /// Asks the VMs of a round.
    fn ask(&mut self) {
        let now = self.state.now();
        self.state.refresh_row(now);
        self.state.connection_pool.discard_stale(now);
        let targets = {
            let fleet = self.state.fleet.borrow();
            let mut rng = self.state.rng.borrow_mut();
            self.plan.targets(now, &fleet, &mut *rng)
        };
        for target in targets {
            self.asked.insert(target, now);
            self.send(target, now, None, false);
        }
    }

    fn send(&self, to: Ipv4Addr, now: Monotonic, asked_at: Option<Monotonic>, has_listing: bool) {
        let message = {
            let belief = self.state.belief.borrow();
            let fleet = self.state.fleet.borrow();
            let mut rng = self.state.rng.borrow_mut();
            FleetMessage {
                sent_at: now,
                asked_at,
                digest: MessageDigest::new(&belief.digest(), now),
                rows: GossipPlan::rows(now, &fleet, to, &mut *rng),
                listing: has_listing.then(|| belief.listing().as_ref().clone()),
            }
        };
        let bytes = match encode_datagram(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "a datagram could not be written");
                return;
            }
        };
        let to = SocketAddr::from((to, self.state.settings.listeners.gossip_port));
        // A datagram may be lost anyway; the next round makes up for it.
        if let Err(error) = self.socket.try_send_to(&bytes, to) {
            log::debug!(to:% = to, error:% = error; "a datagram was not sent");
        }
    }

    fn take(&mut self, from: Ipv4Addr, bytes: &[u8]) {
        let message = match decode_message(bytes) {
            Ok(message) => message,
            Err(error) => {
                log::warn!(from:% = from, error:% = error; "a datagram was dropped");
                return;
            }
        };
        let now = self.state.now();
        self.take_rows(now, from, &message);
        match message.asked_at {
            None => self.answer(now, from, &message),
            Some(asked_at) => self.take_answer(now, from, asked_at, message),
        }
    }

    fn take_rows(&self, now: Monotonic, from: Ipv4Addr, message: &FleetMessage) {
        let belief = self.state.belief.borrow();
        let mut fleet = self.state.fleet.borrow_mut();
        let mut quota = self.state.quota.borrow_mut();
        for row in &message.rows {
            if !fleet.merge(now, row, row.ip == from) {
                continue;
            }
            if let Some(deployment) = belief.deployment() {
                quota.on_row(now, row, deployment);
            }
        }
    }

    fn answer(&self, now: Monotonic, from: Ipv4Addr, question: &FleetMessage) {
        let digest = self.state.belief.borrow().digest();
        let has_listing = digest.listing_revision > question.digest.listing_revision
            && digest.listing_hash != question.digest.listing_hash;
        self.send(from, now, Some(question.sent_at), has_listing);
        if question.digest.configuration_version > digest.configuration_version {
            self.fetch_configuration(from);
        }
    }

    fn take_answer(
        &mut self,
        now: Monotonic,
        from: Ipv4Addr,
        asked_at: Monotonic,
        message: FleetMessage,
    ) {
        // Clocks travel in whole milliseconds; only the time that was kept here is used.
        let kept = self.asked.get(&from).copied();
        let Some(asked_at) = kept.filter(|kept| kept.as_ms() == asked_at.as_ms()) else {
            return;
        };
        self.state
            .fleet
            .borrow_mut()
            .on_round_trip(from, now.since(asked_at));
        let digest = message.digest.received(Some(asked_at));
        let news = self.state.belief.borrow_mut().compare(&digest);
        let has_listing = message.listing.is_some();
        if let Some(listing) = message.listing {
            put_listing(&self.state, from, &digest, listing);
        }
        if news.has_newer_configuration {
            self.fetch_configuration_confirmed(from, digest);
        }
        if news.has_newer_listing && !has_listing {
            self.fetch_listing(from);
        }
    }

    /// Fetches a listing that did not fit into a datagram; one at a time.
    fn fetch_listing(&self, from: Ipv4Addr) {
        if self.is_fetching_listing.replace(true) {
            return;
        }
        let state = Rc::clone(&self.state);
        let is_fetching = Rc::clone(&self.is_fetching_listing);
        tokio::task::spawn_local(async move {
            let asked_at = state.now();
            let address = state.peer_address(from);
            match fetch_listing(&state, address).await {
                Ok(bytes) => take_listing(&state, from, asked_at, &bytes),
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "no listing from a peer");
                    state.read_now.notify_one();
                }
            }
            is_fetching.set(false);
        });
    }

    fn fetch_configuration(&self, from: Ipv4Addr) {
        self.fetch_configuration_confirmed(from, BeliefDigest::default());
    }

    fn fetch_configuration_confirmed(&self, from: Ipv4Addr, digest: BeliefDigest) {
        let state = Rc::clone(&self.state);
        tokio::task::spawn_local(async move {
            let address = state.peer_address(from);
            match fetch_configuration(&state, address).await {
                Ok(encoded) => {
                    let is_newer = take_configuration(&state, encoded, None);
                    let _ = state.belief.borrow_mut().compare(&digest);
                    if is_newer {
                        state.on_belief_changed(state.now());
                    }
                }
                Err(error) => {
                    log::warn!(from:% = from, error:% = error; "no configuration from a peer");
                    state.read_now.notify_one();
                }
            }
        });
    }
}

/// Encodes a message; a listing that does not fit is left out, and the other VM fetches it.
fn encode_datagram(mut message: FleetMessage) -> Result<Vec<u8>, FleetWireError> {
    let bytes = encode_message(&message)?;
    if bytes.len() <= DATAGRAM_MAX_BYTES {
        return Ok(bytes);
    }
    message.listing = None;
    encode_message(&message)
}

fn take_listing(state: &EntryState, from: Ipv4Addr, asked_at: Monotonic, bytes: &[u8]) {
    match decode_message(bytes) {
        Ok(message) => {
            let digest = message.digest.received(Some(asked_at));
            if let Some(listing) = message.listing {
                put_listing(state, from, &digest, listing);
            }
        }
        Err(error) => log::warn!(from:% = from, error:% = error; "a listing was dropped"),
    }
}

fn put_listing(
    state: &EntryState,
    from: Ipv4Addr,
    digest: &BeliefDigest,
    listing: EndpointListing,
) {
    let Some(confirmed_at) = digest.listing_confirmed_at else {
        return;
    };
    let revision = digest.listing_revision;
    let mut belief = state.belief.borrow_mut();
    let is_changed = belief.take_peer_listing(confirmed_at, revision, listing);
    drop(belief);
    if is_changed {
        log::info!(from:% = from, revision = revision; "the listing of a peer differs");
        state.on_belief_changed(state.now());
    }
}
