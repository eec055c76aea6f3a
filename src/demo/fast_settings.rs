//! Settings with short intervals, so that a deployment on one machine is ready within seconds.

use std::time::Duration;

use crate::configuration::ConfigurationSettings;
use crate::configuration::VmIdentity;
use crate::idempotency::IdempotencySettings;
use crate::limits::LimitsSettings;
use crate::membership::MembershipSettings;
use crate::vm::CoreSettings;

/// Returns settings with short intervals, for a VM without seeds.
pub fn fast_core_settings(local_vm: VmIdentity) -> CoreSettings {
    CoreSettings {
        local_vm,
        seeds: Vec::new(),
        configuration: ConfigurationSettings {
            gossip_interval: Duration::from_millis(200),
            boot_wait: Duration::from_millis(600),
            ..ConfigurationSettings::default()
        },
        membership: MembershipSettings {
            gossip_period: Duration::from_millis(200),
            summary_period: Duration::from_millis(200),
            suspect_after: Duration::from_millis(2_000),
            dead_after: Duration::from_millis(4_000),
            ..MembershipSettings::default()
        },
        limits: LimitsSettings {
            lease: Duration::from_millis(1_500),
            lease_renewal: Duration::from_millis(400),
            clock_slack: Duration::from_millis(50),
            grant_lifetime: Duration::from_millis(1_000),
            draw_period: Duration::from_millis(400),
            roster_settle: Duration::from_millis(500),
            ..LimitsSettings::default()
        },
        idempotency: IdempotencySettings {
            transition: Duration::from_millis(1_000),
            full_sync_timeout: Duration::from_millis(3_000),
            ..IdempotencySettings::default()
        },
    }
}
