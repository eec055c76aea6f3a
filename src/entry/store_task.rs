//! Reads the platform's store when a read by this VM is due.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::EntryState;
use crate::belief::Configuration;
use crate::clock::Monotonic;
use crate::deployment::ListingVersion;
use crate::platform::decode_configuration;
use crate::platform::StoreClient;
use crate::platform::StoreContent;
use crate::telemetry::ByteKind;

/// The interval at which the task checks whether a read is due.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Reads the store whenever a read is due; never returns.
pub(super) async fn run(state: Rc<EntryState>) {
    let settings = &state.settings;
    let bytes = state.metrics.bytes(ByteKind::Store, None);
    let mut client = StoreClient::new(settings.store, settings.topology.clone(), bytes);
    loop {
        if is_due(&state) {
            read(&state, &mut client).await;
        }
        tokio::select! {
            () = sleep(CHECK_PERIOD) => {}
            () = state.read_now.notified() => {}
        }
    }
}

fn is_due(state: &EntryState) -> bool {
    let now = state.now();
    let is_reader = state.fleet.borrow().reader(now) == state.settings.ip;
    let confirmed_at = state.belief.borrow().confirmed_at();
    let plan = state.read_plan.borrow();
    plan.is_due(now, is_reader, confirmed_at)
}

async fn read(state: &EntryState, client: &mut StoreClient) {
    let sent_at = state.now();
    state.read_plan.borrow_mut().on_sent(sent_at);
    match client.read().await {
        Ok(content) => {
            if state.read_plan.borrow_mut().on_answered() {
                log::info!("the store is reachable again");
            }
            apply_content(state, sent_at, content);
        }
        Err(error) => {
            if state.read_plan.borrow_mut().on_failed(state.now()) {
                log::warn!(error:% = error; "the store is unreachable");
            }
        }
    }
}

fn apply_content(state: &EntryState, sent_at: Monotonic, content: StoreContent) {
    let now = state.now();
    let version = observe_version(state, now, &content);
    let mut is_changed = false;
    if let Some(encoded) = content.configuration {
        is_changed |= apply_configuration(state, encoded, Some(sent_at));
    }
    let listing = content.listing;
    is_changed |= state
        .belief
        .borrow_mut()
        .apply_store_listing(now, sent_at, version, listing);
    if is_changed {
        log::info!(
            era = version.era,
            revision = version.revision,
            unreadable = content.unreadable_count;
            "applied the store's listing"
        );
        state.on_belief_changed(now);
    }
    state.listing_confirmed.notify_waiters();
}

/// Returns the version of what the store returned, and records a new era of the store.
fn observe_version(state: &EntryState, now: Monotonic, content: &StoreContent) -> ListingVersion {
    let mut belief = state.belief.borrow_mut();
    let held = belief.listing_version();
    let version = belief.store_version(content.era, content.revision);
    if belief.on_era(now, version.era) {
        log::warn!(
            era = version.era,
            revision = version.revision,
            era_before = held.era,
            revision_before = held.revision;
            "the store was restored from a backup; keeping what it may have lost"
        );
    }
    version
}

/// Applies a published configuration; returns whether it is newer than the current one.
pub(super) fn apply_configuration(
    state: &EntryState,
    encoded: Bytes,
    confirmed_at: Option<Monotonic>,
) -> bool {
    let mut belief = state.belief.borrow_mut();
    let held = belief.configuration().cloned();
    let configuration = match held.filter(|held| held.encoded == encoded) {
        Some(held) => held,
        None => match decode_configuration(&encoded, &state.settings.topology) {
            Ok(deployment) => Configuration {
                deployment: Rc::new(deployment),
                encoded,
                compressed: Rc::default(),
            },
            Err(error) => {
                log::error!(error:% = error; "the published configuration is invalid");
                return false;
            }
        },
    };
    let version = configuration.deployment.version();
    let route_count = configuration.deployment.route_count();
    let is_newer = belief.apply_configuration(configuration, confirmed_at);
    if is_newer {
        log::info!(version = version, routes = route_count; "applied a configuration");
    }
    is_newer
}
