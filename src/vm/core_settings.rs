//! The settings of a core.

use crate::configuration::ConfigurationSettings;
use crate::configuration::VmIdentity;
use crate::idempotency::IdempotencySettings;
use crate::limits::LimitsSettings;
use crate::membership::MembershipSettings;
use crate::settings::Settings;

/// The settings of a core.
#[derive(Clone, Debug)]
pub struct CoreSettings {
    /// The VM itself.
    pub local_vm: VmIdentity,
    /// VMs that are known before the roster is.
    pub seeds: Vec<VmIdentity>,
    /// The propagation of change tickets.
    pub configuration: ConfigurationSettings,
    /// The heartbeats.
    pub membership: MembershipSettings,
    /// Rate and burst.
    pub limits: LimitsSettings,
    /// The records of non-idempotent calls.
    pub idempotency: IdempotencySettings,
}

impl From<&Settings> for CoreSettings {
    fn from(settings: &Settings) -> Self {
        let membership = MembershipSettings {
            gossip_period: settings.intervals.heartbeat,
            entry_list_lifetime: settings.intervals.entries_ttl,
            ..MembershipSettings::default()
        };
        Self {
            local_vm: settings.vm.clone(),
            seeds: settings.peers.seeds.clone(),
            configuration: settings.intervals.configuration,
            membership,
            limits: LimitsSettings::default(),
            idempotency: IdempotencySettings::default(),
        }
    }
}
