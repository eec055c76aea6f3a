//! The software versions that began the streams of the last seconds.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::StreamKey;
use super::StreamOrigin;
use crate::clock::Monotonic;
use crate::deployment::SoftwareVersion;
use crate::fleet::NameHash;

/// The largest number of streams that are kept; the oldest ones are dropped.
const STREAMS_MAX: usize = 50_000;

/// What is known of the beginning of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginState {
    /// Nothing.
    Unknown,
    /// This version began it.
    Known(SoftwareVersion),
    /// Two streams of the same identity were begun by different versions.
    Ambiguous,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    version: Option<SoftwareVersion>,
    recorded_at: Monotonic,
    /// The service, if this VM passed the stream on.
    service: Option<NameHash>,
    /// Whether this VM passed the stream on and has told no other VM.
    is_untold: bool,
}

/// The software versions that began the streams of the last seconds.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<StreamKey, Entry>,
    by_age: VecDeque<(Monotonic, StreamKey)>,
}

impl StreamOrigins {
    /// Returns what is known of the beginning of a stream.
    pub fn get(&self, stream: StreamKey) -> OriginState {
        match self.entries.get(&stream) {
            None => OriginState::Unknown,
            Some(entry) => entry
                .version
                .map_or(OriginState::Ambiguous, OriginState::Known),
        }
    }

    /// Records a stream that this VM passes on.
    pub fn record_own(&mut self, now: Monotonic, origin: StreamOrigin, service: NameHash) {
        self.record(now, origin, Some(service));
    }

    /// Records what another VM told.
    pub fn record_told(&mut self, now: Monotonic, origin: StreamOrigin) {
        self.record(now, origin, None);
    }

    fn record(&mut self, now: Monotonic, origin: StreamOrigin, service: Option<NameHash>) {
        let entry = Entry {
            version: Some(origin.version),
            recorded_at: now,
            service,
            is_untold: service.is_some(),
        };
        let stored = self.entries.entry(origin.stream).or_insert(entry);
        if stored.version != entry.version {
            stored.version = None;
        }
        stored.recorded_at = now;
        stored.service = entry.service.or(stored.service);
        stored.is_untold |= entry.is_untold;
        self.by_age.push_back((now, origin.stream));
        if self.by_age.len() > STREAMS_MAX {
            self.remove_oldest();
        }
    }

    /// Returns the streams that this VM passed on and has told no other VM, of the services for which
    /// `is_needed` returns true, and marks them as told.
    pub fn take_untold(&mut self, is_needed: impl Fn(NameHash) -> bool) -> Vec<StreamOrigin> {
        let mut untold = Vec::new();
        for (stream, entry) in &mut self.entries {
            if !entry.is_untold || !entry.service.is_some_and(&is_needed) {
                continue;
            }
            entry.is_untold = false;
            untold.extend(entry.version.map(|version| StreamOrigin {
                stream: *stream,
                version,
            }));
        }
        untold
    }

    /// Returns the streams that other VMs were told of, the oldest first: those that this VM was told of, and those
    /// that it passed on of the services for which `is_needed` returns true.
    pub fn told(&self, is_needed: impl Fn(NameHash) -> bool) -> Vec<StreamKey> {
        let streams = self.by_age.iter().filter(|(recorded_at, stream)| {
            let entry = self.entries.get(stream);
            entry.is_some_and(|entry| {
                let is_latest = entry.recorded_at == *recorded_at;
                is_latest && !entry.is_untold && entry.service.is_none_or(&is_needed)
            })
        });
        streams.map(|(_, stream)| *stream).collect()
    }

    /// Removes the streams that are older than a stream may last.
    pub fn remove_expired(&mut self, now: Monotonic, lifetime: Duration) {
        while let Some((recorded_at, _)) = self.by_age.front() {
            if now.since(*recorded_at) <= lifetime {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((recorded_at, stream)) = self.by_age.pop_front() else {
            return;
        };
        if let Some(entry) = self.entries.get(&stream) {
            if entry.recorded_at <= recorded_at {
                self.entries.remove(&stream);
            }
        }
    }
}
