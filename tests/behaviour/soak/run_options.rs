//! What a run has besides the faults of its seed.

use std::time::Duration;

/// The number of daemons of a run, half of them in each region.
const VM_COUNT: usize = 4;

/// The number of clients of a run.
const CLIENT_COUNT: usize = 12;

/// The time during which faults are started; keys are revoked long enough before its end for the
/// check of their revocation.
const FAULT_TIME: Duration = Duration::from_secs(9);

/// The longer time of faults in a run with rates, of which the first seconds do not count.
pub(super) const LONG_FAULT_TIME: Duration = Duration::from_secs(13);

/// What a run has besides the faults of its seed.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunOptions {
    pub(super) vm_count: usize,
    pub(super) fault_time: Duration,
    pub(super) has_restorations: bool,
    pub(super) has_notices: bool,
    pub(super) has_crashing_prompts: bool,
    pub(super) has_unframed_streams: bool,
    pub(super) has_silences: bool,
    pub(super) has_crashing_requests: bool,
    pub(super) has_named_rates: bool,
    pub(super) has_versions: bool,
    pub(super) has_copies: bool,
    /// Whether engines crash and start again under their identifier.
    pub(super) has_returns: bool,
}

impl Default for RunOptions {
    fn default() -> Self {
        Self {
            vm_count: VM_COUNT,
            fault_time: FAULT_TIME,
            has_restorations: false,
            has_notices: false,
            has_crashing_prompts: false,
            has_unframed_streams: false,
            has_silences: false,
            has_crashing_requests: false,
            has_named_rates: false,
            has_versions: false,
            has_copies: false,
            has_returns: false,
        }
    }
}

impl RunOptions {
    pub(super) fn from_environment() -> Self {
        let is_set = |name: &str| std::env::var(name).is_ok();
        Self {
            vm_count: std::env::var("FIGRAMP_SOAK_VMS")
                .map_or(VM_COUNT, |count| count.parse().expect("a number")),
            has_restorations: is_set("FIGRAMP_SOAK_RESTORATIONS"),
            has_notices: is_set("FIGRAMP_SOAK_NOTICES"),
            has_crashing_prompts: is_set("FIGRAMP_SOAK_CRASHES"),
            has_unframed_streams: is_set("FIGRAMP_SOAK_UNFRAMED"),
            has_silences: is_set("FIGRAMP_SOAK_SILENCES"),
            has_crashing_requests: is_set("FIGRAMP_SOAK_CRASHING_REQUESTS"),
            has_named_rates: is_set("FIGRAMP_SOAK_RATES"),
            has_versions: is_set("FIGRAMP_SOAK_VERSIONS"),
            has_copies: is_set("FIGRAMP_SOAK_COPIES"),
            has_returns: is_set("FIGRAMP_SOAK_RETURNS"),
            fault_time: match is_set("FIGRAMP_SOAK_RATES") {
                true => LONG_FAULT_TIME,
                false => FAULT_TIME,
            },
        }
    }

    /// Returns the number of clients, which is larger if answers take longer, or if engines must be
    /// used enough to flood one that returns.
    pub(super) const fn client_count(self) -> usize {
        match self.has_silences || self.has_returns {
            true => CLIENT_COUNT * 2,
            false => CLIENT_COUNT,
        }
    }
}
