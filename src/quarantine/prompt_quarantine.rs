//! The prompt parts that crash endpoints, as known from all VMs.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::Rng;

use super::crash_instants::CrashInstants;
use super::culprits::find_culprits;
use super::culprits::Evidence;
use super::AnsweredPart;
use super::CrashReport;
use super::CrashReports;
use super::EventTime;
use super::InstanceHash;
use super::PartHash;
use crate::clock::Monotonic;

/// How long a crash counts.
const RETENTION: Duration = Duration::from_secs(600);

/// How long before a crash a whole answer still exonerates a part. It covers the time by which the
/// clocks of two VMs are compared wrongly, since ages in messages do not count the time in transit.
const EXONERATION_LEAD: Duration = Duration::from_millis(500);

/// The largest number of crashes that are kept.
const CRASHES_MAX: usize = 256;

/// The largest number of parts of a prompt that are kept.
const PARTS_MAX: usize = 16;

/// The largest number of answered parts that are kept.
const ANSWERED_MAX: usize = 4_096;

/// The largest number of crashes in a message to another VM.
const MESSAGE_CRASHES_MAX: usize = 12;

/// Finds the prompt parts that crash each endpoint that begins to answer a request with them.
///
/// It answers requests that share such a part and come at any VM, while sound requests share their
/// other parts: only a part without any whole answer is the cause. Endpoints that crash together do
/// so for another reason. Crashes and answers are shared by gossip, since one VM sees few of them.
#[derive(Debug, Default)]
pub struct PromptQuarantine {
    crashes: Vec<CrashReport>,
    instants: CrashInstants,
    answered: HashMap<PartHash, EventTime>,
    quarantined: Vec<BTreeSet<PartHash>>,
}

impl PromptQuarantine {
    /// Records that an endpoint broke off an answer after its first event.
    pub fn on_broken_off(&mut self, now: Monotonic, endpoint: InstanceHash) {
        self.instants.record(endpoint, EventTime::from(now));
    }

    /// Records an answer that broke off between its head and its first event; returns whether that
    /// changes what is quarantined.
    pub fn on_crashed(
        &mut self,
        now: Monotonic,
        endpoint: InstanceHash,
        began_at: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> bool {
        let parts: BTreeSet<PartHash> = parts.into_iter().take(PARTS_MAX).collect();
        let report = CrashReport {
            endpoint,
            began_at: EventTime::from(began_at),
            crashed_at: EventTime::from(now),
            parts: parts.into_iter().collect(),
        };
        self.add(report) && self.update(now)
    }

    /// Records the whole answer to a request; returns whether that changes what is quarantined.
    pub fn on_answered(
        &mut self,
        now: Monotonic,
        parts: impl IntoIterator<Item = PartHash>,
    ) -> bool {
        let mut is_suspect = false;
        for part in parts {
            self.answered.insert(part, EventTime::from(now));
            is_suspect |= self.is_reported(part);
        }
        if self.answered.len() > ANSWERED_MAX {
            self.forget_oldest_answers();
        }
        is_suspect && self.update(now)
    }

    /// Adds what another VM reported, with times by the local clock; returns whether that changes
    /// what is quarantined.
    pub fn merge(&mut self, now: Monotonic, reports: CrashReports) -> bool {
        let mut is_changed = false;
        for answered in reports.answered {
            let known = self.answered.get(&answered.part).copied();
            // Times come later by their transit; without a limit they would grow from VM to VM.
            let is_newer =
                known.is_none_or(|at| answered.answered_at.is_later_by(EXONERATION_LEAD, at));
            if is_newer {
                self.answered.insert(answered.part, answered.answered_at);
                is_changed = true;
            }
        }
        for report in reports.crashes {
            is_changed |= self.add(report);
        }
        is_changed && self.update(now)
    }

    /// Returns a sample of what is known, for another VM.
    pub fn reports(&self, rng: &mut impl Rng) -> CrashReports {
        let (evident, others): (Vec<&CrashReport>, Vec<&CrashReport>) =
            self.crashes.iter().partition(|crash| self.supports(crash));
        let mut crashes = evident.into_iter().sample(rng, MESSAGE_CRASHES_MAX / 2);
        crashes.extend(others.into_iter().sample(rng, MESSAGE_CRASHES_MAX / 2));
        let parts: BTreeSet<PartHash> = crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        let answered = parts.into_iter().filter_map(|part| {
            let answered_at = *self.answered.get(&part)?;
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
        let culprits = self.quarantined.iter().find(|set| set.is_subset(&parts))?;
        let crashes = self.crashes.iter();
        let crashed_at = crashes
            .filter(|crash| culprits.iter().all(|part| crash.parts.contains(part)))
            .map(|crash| crash.crashed_at)
            .max()?;
        let remaining = RETENTION.saturating_sub(crashed_at.age(now));
        (!remaining.is_zero()).then_some(remaining)
    }

    /// Returns the quarantined sets of parts.
    pub fn quarantined(&self) -> &[BTreeSet<PartHash>] {
        &self.quarantined
    }

    fn add(&mut self, report: CrashReport) -> bool {
        self.instants.record(report.endpoint, report.crashed_at);
        if report.parts.is_empty() || self.suspects(&report).next().is_none() {
            return false;
        }
        match self.crashes.iter_mut().find(|held| held.is_same(&report)) {
            Some(_) => false,
            None => {
                self.crashes.push(report);
                true
            }
        }
    }

    /// Returns the parts of a report without a whole answer since, or shortly before.
    fn suspects<'a>(&'a self, report: &'a CrashReport) -> impl Iterator<Item = PartHash> + 'a {
        let is_exonerated = |part: &PartHash| {
            let answered_at = self.answered.get(part);
            answered_at.is_some_and(|at| !report.crashed_at.is_later_by(EXONERATION_LEAD, *at))
        };
        let parts = report.parts.iter().copied();
        parts.filter(move |part| !is_exonerated(part))
    }

    fn is_reported(&self, part: PartHash) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.parts.contains(&part))
    }

    /// Returns whether a quarantine rests on a crash.
    fn supports(&self, crash: &CrashReport) -> bool {
        let mut sets = self.quarantined.iter();
        sets.any(|set| set.iter().all(|part| crash.parts.contains(part)))
    }

    /// Removes crashes that count no longer and finds the culprits anew; returns whether they changed.
    fn update(&mut self, now: Monotonic) -> bool {
        let mut crashes = std::mem::take(&mut self.crashes);
        crashes.retain(|crash| {
            crash.crashed_at.age(now) < RETENTION && self.suspects(crash).next().is_some()
        });
        if crashes.len() > CRASHES_MAX {
            self.remove_oldest(&mut crashes);
        }
        self.crashes = crashes;
        let evidence: Vec<Evidence<'_>> = self
            .crashes
            .iter()
            .filter(|crash| !self.instants.is_in_outage(crash.endpoint))
            .map(|crash| Evidence {
                crash,
                suspects: self.suspects(crash).collect(),
            })
            .collect();
        let quarantined = find_culprits(evidence);
        let is_changed = quarantined != self.quarantined;
        self.quarantined = quarantined;
        is_changed
    }

    /// Removes the oldest crashes that no quarantine rests on.
    fn remove_oldest(&self, crashes: &mut Vec<CrashReport>) {
        crashes.sort_by_key(|crash| (self.supports(crash), crash.crashed_at));
        crashes.drain(..crashes.len() - CRASHES_MAX);
    }

    fn forget_oldest_answers(&mut self) {
        let mut times: Vec<EventTime> = self.answered.values().copied().collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        let reported: BTreeSet<PartHash> = self
            .crashes
            .iter()
            .flat_map(|crash| crash.parts.iter().copied())
            .collect();
        self.answered
            .retain(|part, at| *at >= median || reported.contains(part));
    }
}
