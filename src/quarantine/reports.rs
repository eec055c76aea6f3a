//! What VMs tell each other about crashes.

use super::AnsweredPart;
use super::CrashReport;

/// Crashes of endpoints, and answers that exonerate parts of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashReports {
    /// The crashes.
    pub crashes: Vec<CrashReport>,
    /// The parts of these crashes that were answered.
    pub answered: Vec<AnsweredPart>,
}
