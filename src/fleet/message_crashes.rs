//! The crashes of endpoints in a gossip message.

use std::time::Duration;

use crate::clock::Monotonic;
use crate::quarantine::AnsweredPart;
use crate::quarantine::CrashReport;
use crate::quarantine::CrashReports;
use crate::quarantine::EventTime;
use crate::quarantine::InstanceHash;
use crate::quarantine::PartHash;

/// A [`CrashReport`] with ages instead of times, as the clocks of two VMs differ.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MessageCrash {
    /// The instance of the endpoint.
    pub endpoint: InstanceHash,
    /// The time from the start of the request or its answer to the sending of the message.
    pub began_age: Duration,
    /// The time from the break of the connection to the sending.
    pub crashed_age: Duration,
    /// The parts of the request that may be the cause.
    pub parts: Vec<PartHash>,
}

/// An [`AnsweredPart`] with an age instead of a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageAnsweredPart {
    /// The part.
    pub part: PartHash,
    /// The time from the answer to the sending of the message.
    pub age: Duration,
}

/// [`CrashReports`] with ages instead of times.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageCrashes {
    /// The crashes.
    pub crashes: Vec<MessageCrash>,
    /// The parts of these crashes that were answered.
    pub answered: Vec<MessageAnsweredPart>,
}

impl MessageCrashes {
    /// Converts times into ages as of `now`.
    pub fn new(reports: &CrashReports, now: Monotonic) -> Self {
        let crashes = reports.crashes.iter().map(|crash| MessageCrash {
            endpoint: crash.endpoint,
            began_age: crash.began_at.age(now),
            crashed_age: crash.crashed_at.age(now),
            parts: crash.parts.clone(),
        });
        let answered = reports.answered.iter().map(|answered| MessageAnsweredPart {
            part: answered.part,
            age: answered.answered_at.age(now),
        });
        Self {
            crashes: crashes.collect(),
            answered: answered.collect(),
        }
    }

    /// Converts ages into times of the receiver's clock, which are late by the time in transit.
    pub fn received(&self, now: Monotonic) -> CrashReports {
        let crashes = self.crashes.iter().map(|crash| CrashReport {
            endpoint: crash.endpoint,
            began_at: EventTime::before(now, crash.began_age),
            crashed_at: EventTime::before(now, crash.crashed_age),
            parts: crash.parts.clone(),
        });
        let answered = self.answered.iter().map(|answered| AnsweredPart {
            part: answered.part,
            answered_at: EventTime::before(now, answered.age),
        });
        CrashReports {
            crashes: crashes.collect(),
            answered: answered.collect(),
        }
    }
}
