//! The requests and prompt parts that crash endpoints, as known from all VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::crash_instants::CrashInstants;
use super::crash_selection::draw_for_message;
use super::crash_selection::RepeatedParts;
use super::culprits::find_culprits;
use super::culprits::Evidence;
use super::latest_times::LatestTimes;
use super::AnsweredPart;
use super::CrashReport;
use super::CrashReports;
use super::EventTime;
use super::InstanceHash;
use super::PartHash;
use crate::clock::Monotonic;

/// How long a crash counts.
const RETENTION: Duration = Duration::from_secs(600);

/// How long before a crash an answer still exonerates a part. It covers the time by which the clocks
/// of two VMs are compared wrongly, since ages in messages do not count the time in transit.
const EXONERATION_LEAD: Duration = Duration::from_millis(500);

/// How long after a crash an event of the same instance shows that it did not crash. Events that had
/// arrived before the crash are passed on within this time.
const SURVIVAL_DELAY: Duration = Duration::from_millis(500);

/// The difference between the times of two copies of a report from which on it is dated anew.
const DATING_TOLERANCE: Duration = Duration::from_millis(50);

/// How long a VM goes on telling that a part was answered after it last heard it blamed.
const EXONERATION_RETENTION: Duration = Duration::from_secs(30);

/// The largest number of crashes that are kept.
const CRASHES_MAX: usize = 256;

/// The largest number of exonerated parts that are told to others.
const EXONERATED_MAX: usize = 256;

/// The largest number of exonerated parts in a message to another VM that it does not blame.
const MESSAGE_EXONERATED_MAX: usize = 12;

/// The number of endpoints that crashed under a request from which on it is not sent again.
const REPEATED_CRASHES: usize = 2;

/// Finds the requests that crash each endpoint that runs them, and the prompt parts that do so in any
/// request.
///
/// The parts of a request are its fingerprint, which its repeats have in common, and the shared parts
/// of its prompt. Requests with a culprit come at any VM, while sound requests share their other
/// parts: only a part without any answer is the cause. Endpoints that crash together do so for
/// another reason. Crashes and answers are shared by gossip, since one VM sees few of them.
#[derive(Debug, Default)]
pub struct RequestQuarantine {
    crashes: Vec<CrashReport>,
    instants: CrashInstants,
    /// The answers to prompt parts and what other VMs tell.
    part_answers: LatestTimes<PartHash>,
    /// The answers to requests, of which there are many more.
    request_answers: LatestTimes<PartHash>,
    instance_answers: LatestTimes<InstanceHash>,
    /// The parts that were blamed and answered, with the time they were last blamed.
    exonerated: BTreeMap<PartHash, EventTime>,
    quarantined: Vec<BTreeSet<PartHash>>,
}

impl RequestQuarantine {
    /// Records that an endpoint broke off an answer.
    pub fn on_broken_off(&mut self, now: Monotonic, endpoint: InstanceHash) {
        self.instants.record(endpoint, EventTime::from(now));
    }

    /// Records that an endpoint broke off the answer to a request with these parts; returns whether that
    /// changes what is quarantined.
    ///
    /// `began_at` is when the head of the answer arrived or, without one, when the request was sent.
    pub fn on_crashed(
        &mut self,
        now: Monotonic,
        endpoint: InstanceHash,
        began_at: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> bool {
        self.on_broken_off(now, endpoint);
        let parts: BTreeSet<PartHash> = parts.into_iter().take(CrashReport::PARTS_MAX).collect();
        let report = CrashReport {
            endpoint,
            began_at: EventTime::from(began_at),
            crashed_at: EventTime::from(now),
            parts: parts.into_iter().collect(),
        };
        self.add(now, report) && self.update(now)
    }

    /// Records the first event of an answer; returns whether that changes what is quarantined.
    ///
    /// `endpoint` is `None` if another VM passed the answer on.
    pub fn on_answered(
        &mut self,
        now: Monotonic,
        endpoint: Option<InstanceHash>,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> bool {
        let mut is_changed = false;
        if let Some(endpoint) = endpoint {
            is_changed |= self.on_alive(now, endpoint);
        }
        for part in parts {
            is_changed |= self.is_suspect(part);
            self.part_answers.record(part, EventTime::from(now));
        }
        is_changed && self.update(now)
    }

    /// Records that a request did not crash the endpoint that ran it; returns whether that changes what
    /// is quarantined.
    ///
    /// `endpoint` is `None` if another VM passed the answer on.
    pub fn on_survived(
        &mut self,
        now: Monotonic,
        endpoint: Option<InstanceHash>,
        fingerprint: PartHash,
    ) -> bool {
        let mut is_changed = self.is_suspect(fingerprint);
        if let Some(endpoint) = endpoint {
            is_changed |= self.on_alive(now, endpoint);
        }
        self.request_answers
            .record(fingerprint, EventTime::from(now));
        is_changed && self.update(now)
    }

    /// Records that an instance answered; returns whether that voids a report.
    fn on_alive(&mut self, now: Monotonic, endpoint: InstanceHash) -> bool {
        self.instance_answers.record(endpoint, EventTime::from(now));
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.endpoint == endpoint && self.has_survived(crash))
    }

    /// Adds what another VM reported, with times by the local clock; returns whether that changes
    /// what is quarantined.
    pub fn merge(&mut self, now: Monotonic, reports: CrashReports) -> bool {
        let mut is_changed = false;
        for AnsweredPart { part, answered_at } in reports.answered {
            is_changed |= self.is_suspect(part);
            self.part_answers.record(part, answered_at);
        }
        for report in reports.crashes {
            is_changed |= self.add(now, report);
        }
        is_changed && self.update(now)
    }

    /// Returns a sample of what is known, for another VM.
    pub fn reports(&self, now: Monotonic, rng: &mut impl Rng) -> CrashReports {
        let (evident, others): (Vec<&CrashReport>, Vec<&CrashReport>) =
            self.crashes.iter().partition(|crash| self.supports(crash));
        let crashes = draw_for_message(now, evident, others, rng);
        let exonerated = self.exonerated.keys().copied();
        let mut parts: BTreeSet<PartHash> = exonerated
            .sample(rng, MESSAGE_EXONERATED_MAX)
            .into_iter()
            .collect();
        parts.extend(crashes.iter().flat_map(|crash| crash.parts.iter().copied()));
        let answered = parts.into_iter().filter_map(|part| {
            let answered_at = self.answered_at(part)?;
            Some(AnsweredPart { part, answered_at })
        });
        CrashReports {
            answered: answered.collect(),
            crashes: crashes.into_iter().cloned().collect(),
        }
    }

    /// Returns how long a request with these parts stays quarantined; `None` if it is not.
    pub fn remaining(
        &self,
        now: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> Option<Duration> {
        if self.quarantined.is_empty() {
            return None;
        }
        let parts: BTreeSet<PartHash> = parts.into_iter().collect();
        let culprits = self.quarantined.iter().filter(|set| set.is_subset(&parts));
        let crashes = culprits.flat_map(|set| {
            let crashes = self.crashes.iter();
            crashes.filter(|crash| crash.has_all(set))
        });
        crashes
            .map(|crash| RETENTION.saturating_sub(crash.crashed_at.age(now)))
            .max()
            .filter(|remaining| !remaining.is_zero())
    }

    /// Returns whether several endpoints crashed under a part, for no other known reason.
    pub fn has_repeated_crashes(&self, part: PartHash) -> bool {
        let culprits = self.quarantined.iter().filter(|set| !set.contains(&part));
        let explained: BTreeSet<InstanceHash> = culprits
            .flat_map(|set| self.crashes.iter().filter(|crash| crash.has_all(set)))
            .map(|crash| crash.endpoint)
            .collect();
        let crashes = self.crashes.iter().filter(|crash| {
            crash.parts.contains(&part)
                && !explained.contains(&crash.endpoint)
                && !self.is_exonerated(part, crash.crashed_at)
                && !self.instants.is_outage(crash.crashed_at, &self.crashes)
        });
        let endpoints: BTreeSet<InstanceHash> = crashes.map(|crash| crash.endpoint).collect();
        endpoints.len() >= REPEATED_CRASHES
    }

    /// Returns the quarantined sets of parts.
    pub fn quarantined(&self) -> &[BTreeSet<PartHash>] {
        &self.quarantined
    }

    /// Returns the crashes that the quarantine rests on.
    pub fn evident_crashes(&self) -> impl Iterator<Item = &CrashReport> {
        let evidence = self.evidence().into_iter();
        evidence
            .map(|evidence| evidence.crash)
            .filter(|crash| self.supports(crash))
    }

    /// Adds a report unless it is known or void; returns whether it was added or dated anew.
    fn add(&mut self, now: Monotonic, report: CrashReport) -> bool {
        let blamed_at = EventTime::from(now);
        for part in &report.parts {
            if self.is_exonerated(*part, report.crashed_at) {
                self.exonerated.insert(*part, blamed_at);
            }
        }
        if self.exonerated.len() > EXONERATED_MAX {
            let oldest = self.exonerated.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.exonerated.remove(&oldest);
            }
        }
        if let Some(held) = self.crashes.iter_mut().find(|held| held.is_same(&report)) {
            // Reports that waited on their way are dated late.
            let is_corrected = held
                .crashed_at
                .is_later_by(DATING_TOLERANCE, report.crashed_at);
            if is_corrected {
                *held = report;
            }
            return is_corrected;
        }
        let is_void = report.crashed_at.age(now) >= RETENTION
            || self.has_survived(&report)
            || self.suspects(&report).next().is_none();
        if !is_void {
            self.crashes.push(report);
        }
        !is_void
    }

    /// Returns whether an instance answered after it seemed to have crashed.
    fn has_survived(&self, crash: &CrashReport) -> bool {
        let answered_at = self.instance_answers.get(crash.endpoint);
        answered_at.is_some_and(|at| at.is_later_by(SURVIVAL_DELAY, crash.crashed_at))
    }

    fn answered_at(&self, part: PartHash) -> Option<EventTime> {
        let answered_at = self.part_answers.get(part);
        answered_at.max(self.request_answers.get(part))
    }

    /// Returns whether a part was answered since a crash, or shortly before it.
    fn is_exonerated(&self, part: PartHash, crashed_at: EventTime) -> bool {
        let answered_at = self.answered_at(part);
        answered_at.is_some_and(|at| !crashed_at.is_later_by(EXONERATION_LEAD, at))
    }

    fn suspects<'a>(&'a self, crash: &'a CrashReport) -> impl Iterator<Item = PartHash> + 'a {
        let parts = crash.parts.iter().copied();
        parts.filter(|part| !self.is_exonerated(*part, crash.crashed_at))
    }

    fn is_suspect(&self, part: PartHash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes
            .any(|crash| crash.parts.contains(&part) && !self.is_exonerated(part, crash.crashed_at))
    }

    /// Returns whether a quarantine rests on a crash.
    fn supports(&self, crash: &CrashReport) -> bool {
        let mut sets = self.quarantined.iter();
        sets.any(|set| crash.has_all(set))
    }

    /// Removes crashes that count no longer and finds the culprits anew; returns whether they changed.
    fn update(&mut self, now: Monotonic) -> bool {
        let mut crashes = std::mem::take(&mut self.crashes);
        let blamed_at = EventTime::from(now);
        for crash in &crashes {
            for part in &crash.parts {
                if self.is_exonerated(*part, crash.crashed_at) {
                    self.exonerated.insert(*part, blamed_at);
                }
            }
        }
        crashes.retain(|crash| {
            crash.crashed_at.age(now) < RETENTION
                && !self.has_survived(crash)
                && self.suspects(crash).next().is_some()
        });
        if crashes.len() > CRASHES_MAX {
            self.remove_oldest(&mut crashes);
        }
        self.crashes = crashes;
        self.exonerated
            .retain(|_, blamed_at| blamed_at.age(now) < EXONERATION_RETENTION);
        let quarantined = find_culprits(self.evidence());
        let is_changed = quarantined != self.quarantined;
        self.quarantined = quarantined;
        is_changed
    }

    fn evidence(&self) -> Vec<Evidence<'_>> {
        // Many requests break off with an endpoint at the same time.
        let mut outages: BTreeMap<EventTime, bool> = BTreeMap::new();
        let crashes = self.crashes.iter();
        crashes
            .filter(|crash| {
                let is_outage = outages
                    .entry(crash.crashed_at)
                    .or_insert_with(|| self.instants.is_outage(crash.crashed_at, &self.crashes));
                !*is_outage
            })
            .map(|crash| Evidence {
                crash,
                suspects: self.suspects(crash).collect(),
            })
            .collect()
    }

    /// Removes the oldest crashes, first those under parts that crashed no other endpoint and last those
    /// that a quarantine rests on.
    fn remove_oldest(&self, crashes: &mut Vec<CrashReport>) {
        let repeated = RepeatedParts::new(crashes.iter());
        crashes.sort_by_cached_key(|crash| {
            let is_evident = self.supports(crash);
            (is_evident, repeated.are_in(crash), crash.crashed_at)
        });
        crashes.drain(..crashes.len() - CRASHES_MAX);
    }
}
