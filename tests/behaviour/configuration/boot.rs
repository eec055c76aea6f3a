//! A booting VM queries its peers before it serves, so that a stale service does not bring back an
//! earlier configuration.

use std::time::Duration;

use figramp::audit::AuditEvent;
use figramp::catalog::ServiceState;
use figramp::configuration::BootOutcome;

use super::fleet::identity;
use super::fleet::key_ticket;
use super::fleet::name;
use super::fleet::raw;
use super::fleet::Fleet;

const REGIONS: [&str; 2] = ["boyaca", "santander"];

fn fleet_with_revoked_key(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, &REGIONS, 3);
    fleet.run(Duration::from_secs(6));
    assert!(fleet.has_key(0, "nursery-key"));
    fleet.published.push(key_ticket(2, "nursery-key", None));
    fleet.run(Duration::from_secs(8));
    fleet
}

#[test]
fn a_revoked_key_stays_revoked_after_a_boot_with_a_stale_service() {
    for seed in 0..20 {
        println!("seed {seed}");
        let mut fleet = fleet_with_revoked_key(seed);
        fleet.pinned_ticket = Some(1);
        fleet.loss = 0.3;
        fleet.restart(0);
        for _ in 0..100 {
            fleet.step();
            let controller = &fleet.nodes[0].controller;
            let accepts_key = controller.is_ready(fleet.now) && fleet.has_key(0, "nursery-key");
            assert!(
                !accepts_key,
                "seed {seed}: the revoked key is accepted at {:?}",
                fleet.now
            );
        }
        let outcome = fleet.nodes[0].controller.boot_outcome();
        assert!(
            matches!(outcome, Some(BootOutcome::Synchronised { .. })),
            "seed {seed}: {outcome:?}"
        );
    }
}

#[test]
fn a_paused_vm_is_not_ready_before_it_has_queried_its_peers() {
    let mut fleet = Fleet::new(5, &REGIONS, 3);
    fleet.run(Duration::from_secs(6));
    assert!(fleet.nodes[0].controller.is_ready(fleet.now));
    fleet.nodes[0].is_up = false;
    fleet.published.push(key_ticket(2, "nursery-key", None));
    fleet.run(Duration::from_secs(10));
    fleet.pinned_ticket = Some(1);
    fleet.nodes[0].is_up = true;
    assert!(fleet.has_key(0, "nursery-key"));
    assert!(
        !fleet.nodes[0].controller.is_ready(fleet.now),
        "ready before the first tick after the pause"
    );
    for _ in 0..100 {
        fleet.step();
        let is_ready = fleet.nodes[0].controller.is_ready(fleet.now);
        assert!(!is_ready || !fleet.has_key(0, "nursery-key"));
    }
    assert!(fleet.nodes[0].controller.is_ready(fleet.now));
    let is_pause = |event: &AuditEvent| matches!(event, AuditEvent::PauseNoticed { .. });
    assert!(fleet.nodes[0].audit.iter().any(is_pause));
}

#[test]
fn a_vm_without_peers_serves_after_a_bounded_time_and_audits_it() {
    let mut fleet = Fleet::new(6, &["boyaca"], 1);
    fleet.run(Duration::from_secs(4));
    let node = &fleet.nodes[0];
    assert!(node.controller.is_ready(fleet.now));
    assert_eq!(
        node.controller.boot_outcome(),
        Some(BootOutcome::WithoutPeers)
    );
    assert!(node.audit.contains(&AuditEvent::BootedWithoutPeers));
}

#[test]
fn a_vm_with_neither_service_nor_peers_is_not_ready() {
    let mut fleet = Fleet::new(7, &["boyaca"], 1);
    fleet.regions_with_service.clear();
    fleet.run(Duration::from_secs(60));
    assert!(!fleet.nodes[0].controller.is_ready(fleet.now));
}

#[test]
fn a_vm_outside_the_roster_learns_from_a_seed_while_the_service_is_down() {
    let mut fleet = Fleet::new(8, &REGIONS, 3);
    fleet.run(Duration::from_secs(10));
    fleet.regions_with_service.clear();
    let seeds = vec![identity("boyaca", 1)];
    let newcomer = fleet.add(identity("boyaca", 9), seeds);
    fleet.run(Duration::from_secs(4));
    let controller = &fleet.nodes[newcomer].controller;
    assert!(controller.is_ready(fleet.now));
    assert!(fleet.has_key(newcomer, "nursery-key"));
    assert!(fleet.is_converged());
    let vm = name("boyaca-9");
    let introduced = AuditEvent::VmIntroduced { vm: vm.clone() };
    assert!(fleet.nodes[1].audit.contains(&introduced));
    assert!(fleet.nodes[1].controller.catalog().vm_named(&vm).is_some());
}

#[test]
fn a_service_of_many_pages_is_read_to_its_end_before_a_vm_serves() {
    let mut fleet = Fleet::new(9, &["boyaca"], 1);
    fleet.page_max_tickets = 2;
    for number in 2..30 {
        fleet
            .published
            .push(key_ticket(number, "other", Some("nursery")));
    }
    fleet.published.push(key_ticket(30, "nursery-key", None));
    for _ in 0..60 {
        fleet.step();
        let is_ready = fleet.nodes[0].controller.is_ready(fleet.now);
        assert!(!is_ready || !fleet.has_key(0, "nursery-key"));
    }
    assert!(fleet.nodes[0].controller.is_ready(fleet.now));
}

#[test]
fn the_local_vm_stays_known_when_its_roster_entry_or_region_is_removed() {
    let mut fleet = Fleet::new(10, &["boyaca"], 2);
    let removed = |number: u64, kind: &str, object: &str| {
        let objects = serde_json::json!([{"kind": kind, "name": object, "value": null}]);
        raw(serde_json::json!({"number": number, "objects": objects}).to_string())
    };
    fleet.published.push(removed(2, "region", "boyaca"));
    fleet.run(Duration::from_secs(6));
    fleet.published.push(removed(3, "vm", "boyaca-0"));
    fleet.run(Duration::from_secs(6));
    let state = |node: usize, vm: &str| {
        let catalog = fleet.nodes[node].controller.catalog();
        let key = catalog.vm_named(&name(vm));
        key.map(|key| catalog.vms[key].state)
    };
    assert_eq!(state(0, "boyaca-0"), Some(ServiceState::Leaving));
    assert_eq!(state(1, "boyaca-1"), Some(ServiceState::Active));
    assert_eq!(state(1, "boyaca-0"), None);
}
