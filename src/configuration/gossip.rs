//! Anti-entropy between the stores of two VMs, and the push of new changes.
//!
//! Rumor mongering, backed up by anti-entropy, after Demers et al. (1987).

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;

use super::peer_choice::PeerChoice;
use super::BucketVersions;
use super::ConfigurationAction;
use super::ConfigurationMessage;
use super::ConfigurationSettings;
use super::ConfigurationStore;
use super::ObjectHash;
use super::ObjectId;
use super::ObjectRecord;
use super::StoreDigest;
use super::Summary;
use super::Version;
use super::WANTED_MAX;
use crate::catalog::VmKey;
use crate::clock::Monotonic;

const COMPARE_INTERVAL: Duration = Duration::from_millis(200);
const PUSH_MAX_BYTES: usize = 64 * 1024;
const PUSH_REGIONS: usize = 2;

/// Exchanges summaries, versions and objects with other VMs.
#[derive(Clone, Debug)]
pub(super) struct Gossip {
    settings: ConfigurationSettings,
    last_message_at: Monotonic,
    next_summary_at: Monotonic,
    last_compare_at: Option<Monotonic>,
    unpushed: BTreeSet<ObjectId>,
}

impl Gossip {
    pub(super) fn new(settings: ConfigurationSettings, now: Monotonic) -> Self {
        Self {
            settings,
            last_message_at: now,
            next_summary_at: now,
            last_compare_at: None,
            unpushed: BTreeSet::new(),
        }
    }

    /// Records that a message of another VM has arrived.
    pub(super) fn on_message(&mut self, now: Monotonic) {
        self.last_message_at = now;
    }

    /// Returns whether no message has arrived for the gossip timeout.
    pub(super) fn has_timed_out(&self, now: Monotonic) -> bool {
        now.since(self.last_message_at) >= self.settings.gossip_timeout
    }

    /// Records changes to push at the next tick.
    pub(super) fn on_changed(&mut self, objects: impl Iterator<Item = ObjectId>) {
        self.unpushed.extend(objects);
    }

    pub(super) fn is_summary_due(&self, now: Monotonic) -> bool {
        now >= self.next_summary_at
    }

    /// Sends the summary to some peers.
    pub(super) fn send_summary(
        &mut self,
        now: Monotonic,
        summary: Summary,
        peers: PeerChoice<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        self.next_summary_at = now + self.settings.gossip_interval;
        let mut receivers = peers.in_local_region(self.settings.gossip_fanout, rng);
        if peers.is_bridge() {
            receivers.extend(peers.in_other_regions(1, rng));
        }
        for to in receivers {
            let message = ConfigurationMessage::Summary(summary);
            out.push(ConfigurationAction::Send { to, message });
        }
    }

    /// Pushes new changes; batches above [`PUSH_MAX_BYTES`] are left to anti-entropy.
    pub(super) fn push_changes(
        &mut self,
        store: &ConfigurationStore,
        peers: PeerChoice<'_>,
        rng: &mut impl Rng,
        out: &mut Vec<ConfigurationAction>,
    ) {
        if self.unpushed.is_empty() {
            return;
        }
        let unpushed = std::mem::take(&mut self.unpushed);
        let records: Vec<ObjectRecord> = unpushed
            .iter()
            .filter_map(|id| store.get(id))
            .cloned()
            .collect();
        let total_bytes: usize = records.iter().map(ObjectRecord::size_bytes).sum();
        if total_bytes > PUSH_MAX_BYTES {
            return;
        }
        let mut receivers = peers.in_local_region(self.settings.gossip_fanout, rng);
        if peers.is_bridge() {
            receivers.extend(peers.in_other_regions(PUSH_REGIONS, rng));
        }
        for to in receivers {
            send_all(
                to,
                ConfigurationMessage::objects(records.iter().cloned()),
                out,
            );
        }
    }

    /// Starts a comparison with a peer whose state differs, at most once per [`COMPARE_INTERVAL`].
    pub(super) fn on_difference(
        &mut self,
        now: Monotonic,
        from: VmKey,
        store: &ConfigurationStore,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let is_too_soon = self
            .last_compare_at
            .is_some_and(|compared_at| now.since(compared_at) < COMPARE_INTERVAL);
        if is_too_soon {
            return;
        }
        self.last_compare_at = Some(now);
        out.push(ConfigurationAction::Send {
            to: from,
            message: ConfigurationMessage::Buckets(store.digest()),
        });
    }

    /// Replies with the versions in the buckets that differ.
    pub(super) fn on_buckets(
        &self,
        from: VmKey,
        digest: &StoreDigest,
        store: &ConfigurationStore,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let local = store.digest();
        let versions = local.differing(digest).map(|index| store.versions(index));
        send_all(from, ConfigurationMessage::versions(versions), out);
    }

    /// Replies with the objects that the sender lacks and requests those that this VM lacks.
    pub(super) fn on_versions(
        &self,
        from: VmKey,
        buckets: &[BucketVersions],
        store: &ConfigurationStore,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let newer = buckets
            .iter()
            .flat_map(|bucket| newer_records(store, bucket))
            .cloned();
        send_all(from, ConfigurationMessage::objects(newer), out);
        let wanted: Vec<ObjectHash> = buckets
            .iter()
            .flat_map(|bucket| wanted_objects(store, bucket))
            .collect();
        let requests = wanted
            .chunks(WANTED_MAX)
            .map(|chunk| ConfigurationMessage::Wanted(chunk.to_vec()));
        send_all(from, requests.collect(), out);
    }

    /// Replies with the requested objects.
    pub(super) fn on_wanted(
        &self,
        from: VmKey,
        objects: &[ObjectHash],
        store: &ConfigurationStore,
        out: &mut Vec<ConfigurationAction>,
    ) {
        let records = objects
            .iter()
            .take(WANTED_MAX)
            .filter_map(|hash| store.get_by_hash(*hash))
            .cloned();
        send_all(from, ConfigurationMessage::objects(records), out);
    }
}

fn newer_records<'a>(
    store: &'a ConfigurationStore,
    remote: &BucketVersions,
) -> impl Iterator<Item = &'a ObjectRecord> {
    let known: HashMap<ObjectHash, Version> = remote
        .versions
        .iter()
        .map(|entry| (entry.object, entry.version))
        .collect();
    store.bucket(remote.index).filter(move |record| {
        known
            .get(&record.id.hash())
            .is_none_or(|version| *version < record.version)
    })
}

fn wanted_objects(store: &ConfigurationStore, remote: &BucketVersions) -> Vec<ObjectHash> {
    let local: HashMap<ObjectHash, Version> = store
        .bucket(remote.index)
        .map(|record| (record.id.hash(), record.version))
        .collect();
    remote
        .versions
        .iter()
        .filter(|entry| {
            local
                .get(&entry.object)
                .is_none_or(|version| *version < entry.version)
        })
        .map(|entry| entry.object)
        .collect()
}

fn send_all(to: VmKey, messages: Vec<ConfigurationMessage>, out: &mut Vec<ConfigurationAction>) {
    let sends = messages
        .into_iter()
        .map(|message| ConfigurationAction::Send { to, message });
    out.extend(sends);
}
