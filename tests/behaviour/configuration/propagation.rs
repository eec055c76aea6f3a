//! Accepted tickets reach every VM despite lost, duplicated and delayed messages, network
//! partitions and restarts.

use std::time::Duration;

use figramp::audit::AuditEvent;
use figramp::clock::Monotonic;
use figramp::configuration::ConfigurationStore;
use figramp::configuration::Ticket;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::fleet::key_ticket;
use super::fleet::Fleet;

const REGIONS: [&str; 3] = ["boyaca", "santander", "cundinamarca"];
/// The maximum time until the service is read again for numbers that were published late.
const REREAD_LIMIT: Duration = Duration::from_secs(65);
const FLEETS: u64 = 20;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

fn merged(fleet: &Fleet) -> ConfigurationStore {
    let mut store = ConfigurationStore::default();
    for raw in fleet.published.iter().rev() {
        for record in Ticket::try_from(raw).unwrap().records {
            store.merge(record);
        }
    }
    store
}

fn publish_at_random(fleet: &mut Fleet, rng: &mut StdRng, last: &mut u64) {
    let is_race = rng.random_bool(0.2);
    *last += u64::from(!is_race) * rng.random_range(1..=3);
    let key = format!("key-{}", rng.random_range(0..6));
    let account = rng.random_bool(0.6).then_some("nursery");
    fleet
        .published
        .push(key_ticket((*last).max(2), &key, account));
}

/// A seed that is not shrunk, because a smaller seed is not a simpler case.
#[derive(Clone, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn converges(Seed(seed): Seed) -> bool {
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(seed, &REGIONS, 3);
    fleet.loss = 0.2;
    fleet.duplication = 0.2;
    let mut last = 1;
    for _ in 0..12 {
        publish_at_random(&mut fleet, &mut rng, &mut last);
        match rng.random_range(0..5) {
            0 => fleet.partition(REGIONS[0], REGIONS[1]),
            1 => fleet.partitions.clear(),
            2 => fleet.restart(rng.random_range(0..9)),
            3 => {
                fleet
                    .regions_with_service
                    .remove(REGIONS[rng.random_range(0..3)]);
            }
            _ => fleet
                .regions_with_service
                .extend(REGIONS.map(str::to_owned)),
        }
        fleet.run(Duration::from_millis(rng.random_range(100..3_000)));
    }
    fleet.partitions.clear();
    fleet.loss = 0.0;
    fleet
        .regions_with_service
        .extend(REGIONS.map(str::to_owned));
    fleet.run(REREAD_LIMIT);
    fleet.is_converged() && fleet.nodes[0].controller.root() == merged(&fleet).digest().root()
}

#[test]
fn a_fleet_converges_after_loss_duplication_partitions_and_restarts() {
    QuickCheck::new()
        .tests(FLEETS)
        .quickcheck(converges as fn(Seed) -> bool);
}

/// Runs until `is_done` and returns the time taken.
fn time_until(fleet: &mut Fleet, is_done: impl Fn(&Fleet) -> bool) -> Duration {
    let start: Monotonic = fleet.now;
    while !is_done(fleet) {
        fleet.step();
        assert!(
            fleet.now.since(start) < Duration::from_secs(120),
            "not done after 120 s"
        );
    }
    fleet.now.since(start)
}

fn is_revoked_everywhere(fleet: &Fleet) -> bool {
    (0..fleet.nodes.len()).all(|node| !fleet.has_key(node, "nursery-key"))
}

#[test]
fn a_revoked_key_is_refused_everywhere_within_the_limit() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &REGIONS, 7);
        fleet.loss = 0.1;
        fleet.run(Duration::from_secs(10));
        fleet.published.push(key_ticket(2, "nursery-key", None));
        let took = time_until(&mut fleet, is_revoked_everywhere);
        assert!(took <= IN_FORCE_LIMIT, "seed {seed}: {took:?}");
    }
}

#[test]
fn one_region_that_reaches_the_service_is_enough() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, &REGIONS, 7);
        fleet.run(Duration::from_secs(10));
        fleet.regions_with_service = [REGIONS[2].to_owned()].into();
        fleet.published.push(key_ticket(2, "nursery-key", None));
        let took = time_until(&mut fleet, is_revoked_everywhere);
        assert!(took <= IN_FORCE_LIMIT, "seed {seed}: {took:?}");
    }
}

#[test]
fn few_vms_of_a_region_watch_the_service() {
    let mut fleet = Fleet::new(1, &REGIONS, 7);
    fleet.run(Duration::from_secs(20));
    let is_watching = |events: &[AuditEvent]| {
        let last = events
            .iter()
            .rfind(|event| matches!(event, AuditEvent::WatchStarted | AuditEvent::WatchStopped));
        last == Some(&AuditEvent::WatchStarted)
    };
    for region in REGIONS {
        let count = fleet
            .nodes
            .iter()
            .filter(|node| node.identity.spec.region.as_str() == region)
            .filter(|node| is_watching(&node.audit))
            .count();
        assert_eq!(count, 2, "{region}");
    }
}

#[test]
fn a_ticket_that_is_published_late_is_found() {
    let mut fleet = Fleet::new(3, &REGIONS, 3);
    fleet.run(Duration::from_secs(10));
    fleet.published.push(key_ticket(3, "late", Some("nursery")));
    fleet.run(Duration::from_secs(3));
    fleet.published.push(key_ticket(2, "nursery-key", None));
    let took = time_until(&mut fleet, is_revoked_everywhere);
    assert!(took <= IN_FORCE_LIMIT, "{took:?}");
}
