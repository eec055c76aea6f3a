//! VMs that the published roster does not name.

use std::time::Duration;

use figramp::catalog::Name;
use figramp::demo::raw_ticket;
use figramp::vm::CoreEvent;
use serde_json::Value;

use super::core_fleet::objects;
use super::core_fleet::CoreFleet;

/// Otherwise each of them would regard itself as the only VM of its region and accrue the whole
/// share of every account.
#[test]
fn get_no_tokens_before_the_roster_is_published() {
    let mut fleet = CoreFleet::new(1, 1, 3, 1);
    let all = objects(1, 3, 1);
    let (vms, others): (Vec<Value>, Vec<Value>) =
        all.into_iter().partition(|object| object["kind"] == "vm");
    fleet.tickets = Some(vec![raw_ticket(1, others)]);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(vms_with_tokens(&mut fleet), 0);

    fleet.publish(2, vms);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(vms_with_tokens(&mut fleet), 3);
}

fn vms_with_tokens(fleet: &mut CoreFleet) -> usize {
    let account = Name::new("account-0").expect("the name is valid");
    for vm in 0..fleet.vms.len() {
        let catalog = fleet.vms[vm].core.catalog();
        let account = catalog.client_account_named(&account);
        let account = account.expect("the account is published");
        let tokens = 100;
        fleet.handle(vm, CoreEvent::TokensRequested { account, tokens });
    }
    fleet.run_for(Duration::from_secs(1));
    fleet.vms.iter().filter(|vm| vm.tokens_arrived > 0).count()
}
