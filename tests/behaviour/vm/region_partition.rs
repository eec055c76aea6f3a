//! A region that a network partition separates from the others, in virtual time.

use std::time::Duration;

use figramp::catalog::Name;
use figramp::catalog::TicketNumber;
use figramp::demo::key_object;
use figramp::vm::CoreEvent;

use super::core_fleet::identity;
use super::core_fleet::CoreFleet;

const REGIONS: usize = 3;
const VMS: usize = 3;
const HOUR: Duration = Duration::from_secs(3_600);
const IN_FORCE_TARGET: Duration = Duration::from_secs(8);

fn started(seed: u64) -> CoreFleet {
    let mut fleet = CoreFleet::new(seed, REGIONS, VMS, 1);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.vms.iter().all(|vm| vm.is_ready));
    fleet
}

/// Requests tokens on each VM of a region, and returns the number of VMs that got some.
fn served_vms(fleet: &mut CoreFleet, region: usize) -> usize {
    let account = Name::new("account-0").expect("the name is valid");
    let vms: Vec<usize> = (0..fleet.vms.len())
        .filter(|vm| fleet.vms[*vm].region == region)
        .collect();
    for vm in &vms {
        fleet.vms[*vm].tokens_arrived = 0;
        let catalog = fleet.vms[*vm].core.catalog();
        let account = catalog.client_account_named(&account);
        let account = account.expect("the account is published");
        let tokens = 100;
        fleet.handle(*vm, CoreEvent::TokensRequested { account, tokens });
    }
    fleet.run_for(Duration::from_secs(1));
    vms.iter()
        .filter(|vm| fleet.vms[**vm].tokens_arrived > 0)
        .count()
}

#[test]
fn goes_on_serving_for_an_hour_and_rejoins() {
    for seed in [1, 2, 3] {
        let mut fleet = started(seed);
        fleet.partitioned_regions = vec![1];
        fleet.run_for(Duration::from_secs(60));
        for region in 0..REGIONS {
            assert_eq!(
                served_vms(&mut fleet, region),
                VMS,
                "seed {seed}, region {region}"
            );
        }
        fleet.run_for(HOUR / 60);
        assert_eq!(served_vms(&mut fleet, 1), VMS, "seed {seed}");
        fleet.partitioned_regions.clear();
        fleet.run_for(Duration::from_secs(10));
        for region in 0..REGIONS {
            assert_eq!(
                served_vms(&mut fleet, region),
                VMS,
                "seed {seed}, region {region}"
            );
        }
    }
}

#[test]
fn learns_a_ticket_within_the_target_once_it_is_back_and_reverts_nothing() {
    let mut fleet = started(4);
    fleet.partitioned_regions = vec![1];
    fleet.tickets = None;
    fleet.run_for(Duration::from_secs(5));
    // The service is up with a new ticket for 3 s only.
    fleet.publish(2, vec![key_object("k", Some("account-0"))]);
    fleet.run_for(Duration::from_secs(3));
    fleet.tickets = None;
    for vm in &fleet.vms {
        let is_partitioned = vm.region == 1;
        let ticket = vm.core.configuration().ticket_in_force();
        assert!(
            is_partitioned || ticket == TicketNumber(2),
            "{} has {ticket}",
            vm.name
        );
    }
    fleet.partitioned_regions.clear();
    fleet.run_for(IN_FORCE_TARGET);
    for vm in &fleet.vms {
        let ticket = vm.core.configuration().ticket_in_force();
        assert_eq!(ticket, TicketNumber(2), "{}", vm.name);
    }
}

#[test]
fn a_vm_that_boots_with_a_stale_service_learns_of_a_revoked_key_before_it_is_ready() {
    let mut fleet = started(5);
    fleet.publish(2, vec![key_object("k", Some("account-0"))]);
    fleet.publish(3, vec![key_object("k", None)]);
    fleet.run_for(IN_FORCE_TARGET);
    let stale: Vec<_> = fleet.tickets.iter().flatten().take(2).cloned().collect();
    fleet.tickets = Some(stale);
    let mut settings = figramp::demo::fast_core_settings(identity(0, 0));
    settings.seeds = vec![identity(0, 1), identity(0, 2)];
    fleet.boot(0, settings);
    while !fleet.vms[0].is_ready {
        fleet.run_for(Duration::from_millis(50));
    }
    let ticket = fleet.vms[0].core.configuration().ticket_in_force();
    assert_eq!(ticket, TicketNumber(3));
    assert_eq!(fleet.vms[0].core.catalog().api_key_count(), 0);
}
