//! Requests for tokens before any VM of the region is a home that may grant them.

use std::time::Duration;

use figramp::limits::DenialReason;
use figramp::vm::CoreEvent;

use super::core_fleet::CoreFleet;

#[test]
fn are_denied_for_lack_of_a_home_and_not_as_over_the_rate() {
    let mut fleet = CoreFleet::new(1, 1, 3, 1);
    while !fleet.vms.iter().all(|vm| vm.is_ready) {
        fleet.run_for(Duration::from_millis(50));
    }
    for vm in 0..fleet.vms.len() {
        let account = fleet.vms[vm].core.catalog().client_accounts.keys().next();
        let account = account.expect("the account is published");
        fleet.handle(vm, CoreEvent::TokensRequested { account, tokens: 1 });
        assert_eq!(fleet.vms[vm].denials, [DenialReason::NoHome]);
    }
}
