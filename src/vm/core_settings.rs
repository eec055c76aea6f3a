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
    /// The name, region and addresses of the local VM.
    pub local_vm: VmIdentity,
    /// VMs to contact before the first roster is known.
    pub seeds: Vec<VmIdentity>,
    /// The propagation of change tickets.
    pub configuration: ConfigurationSettings,
    /// The heartbeats and the failure detection.
    pub membership: MembershipSettings,
    /// The distribution of the accounts' tokens.
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
