//! Measures the figures of docs/CAPACITY.md: the control cost of one VM over growing fleets.
//!
//! Drives whole cores in virtual time and counts processor time, memory, messages and bytes. A
//! number after `--` selects the size with as many regions.

#[path = "../tests/behaviour/vm/core_fleet.rs"]
#[allow(dead_code, missing_docs)]
mod core_fleet;

use std::fs;
use std::time::Duration;
use std::time::Instant;

use figramp::catalog::TicketNumber;
use figramp::configuration::ConfigurationSettings;
use figramp::configuration::VmIdentity;
use figramp::demo::key_object;
use figramp::demo::raw_ticket;
use figramp::idempotency::IdempotencySettings;
use figramp::limits::LimitsSettings;
use figramp::membership::MembershipSettings;
use figramp::vm::CoreSettings;
use serde_json::json;
use serde_json::Value;

use core_fleet::identity;
use core_fleet::objects;
use core_fleet::region_name;
use core_fleet::CoreFleet;

const WARM_UP: Duration = Duration::from_secs(60);
const SPAN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(250);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(60);
const SEEDS_PER_VM: usize = 2;
const PAGE_KIB: u64 = 4;

/// The size of a fleet.
#[derive(Clone, Copy)]
struct Size {
    regions: usize,
    vms_per_region: usize,
    endpoints: usize,
    accounts: usize,
}

const SIZES: [Size; 4] = [
    Size {
        regions: 3,
        vms_per_region: 5,
        endpoints: 13,
        accounts: 5,
    },
    Size {
        regions: 9,
        vms_per_region: 10,
        endpoints: 320,
        accounts: 70,
    },
    Size {
        regions: 18,
        vms_per_region: 20,
        endpoints: 1_320,
        accounts: 300,
    },
    Size {
        regions: 27,
        vms_per_region: 29,
        endpoints: 2_900,
        accounts: 650,
    },
];

fn main() {
    println!(
        "| VMs | regions | endpoints | accounts | processor of a core | bytes/s sent | \
         messages/s | service reads/s, fleet | ticket in force at the last VM | memory a VM |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let wanted: Option<usize> = std::env::args().find_map(|argument| argument.parse().ok());
    for size in SIZES {
        if wanted.is_none_or(|regions| regions == size.regions) {
            measure(size);
        }
    }
}

fn measure(size: Size) {
    let before_kib = resident_kib();
    let mut fleet = launch(size);
    fleet.run_for(WARM_UP);
    let vm_count = fleet.vms.len() as u64;
    let memory_kib = resident_kib().saturating_sub(before_kib) / vm_count;
    for vm in &mut fleet.vms {
        vm.sent_bytes = 0;
        vm.sent_messages = 0;
        vm.service_reads = 0;
    }
    let started = Instant::now();
    fleet.run_for(SPAN);
    let share = started.elapsed().as_secs_f64() / SPAN.as_secs_f64() / vm_count as f64;
    let span_s = SPAN.as_secs();
    let most_bytes = fleet.vms.iter().map(|vm| vm.sent_bytes).max().unwrap_or(0);
    let bytes: u64 = fleet.vms.iter().map(|vm| vm.sent_bytes).sum();
    let messages: u64 = fleet.vms.iter().map(|vm| vm.sent_messages).sum();
    let reads: u64 = fleet.vms.iter().map(|vm| vm.service_reads).sum();
    let in_force = in_force_time(&mut fleet);
    println!(
        "| {vm_count} | {} | {} | {} | {:.2}% | {} (most {}) | {:.1} | {:.1} | {:.1} s | {} KiB |",
        size.regions,
        size.endpoints,
        size.accounts,
        share * 100.0,
        bytes / vm_count / span_s,
        most_bytes / span_s,
        messages as f64 / (vm_count * span_s) as f64,
        reads as f64 / span_s as f64,
        in_force.as_secs_f64(),
        memory_kib,
    );
}

fn launch(size: Size) -> CoreFleet {
    let tickets = vec![
        raw_ticket(1, objects(size.regions, size.vms_per_region, size.accounts)),
        raw_ticket(2, endpoint_objects(size)),
    ];
    CoreFleet::with_settings(1, size.regions, size.vms_per_region, tickets, |local_vm| {
        settings(local_vm, size)
    })
}

fn settings(local_vm: VmIdentity, size: Size) -> CoreSettings {
    let region =
        (0..size.regions).find(|region| region_name(*region) == local_vm.spec.region.as_str());
    let region = region.expect("the region is one of the fleet");
    let seeds = (0..SEEDS_PER_VM.min(size.vms_per_region))
        .map(|index| identity(region, index))
        .filter(|seed| seed.name != local_vm.name)
        .collect();
    CoreSettings {
        local_vm,
        seeds,
        configuration: ConfigurationSettings::default(),
        membership: MembershipSettings::default(),
        limits: LimitsSettings::default(),
        idempotency: IdempotencySettings::default(),
    }
}

fn endpoint_objects(size: Size) -> Vec<Value> {
    let mut objects = vec![json!({"kind": "route", "name": "model", "value": {
        "kind": "model", "class": "long", "repeatability": "idempotent",
        "deadline_ms": 60_000, "first_event_timeout_ms": 5_000,
        "silence_timeout_ms": 5_000, "answer_max_tokens": 4_096}})];
    for index in 0..size.endpoints {
        let region = region_name(index % size.regions);
        let address = format!("127.2.{}.{}:8000", index / 250, index % 250 + 1);
        objects.push(
            json!({"kind": "endpoint", "name": format!("engine-{index}"), "value": {
            "kind": "engine", "address": address, "region": region,
            "availability_zone": format!("{region}-a"), "routes": ["model"],
            "state": "active", "concurrency": 64, "checks_fencing": true}}),
        );
    }
    objects
}

/// Publishes a ticket and returns the time until the last VM has it in force.
fn in_force_time(fleet: &mut CoreFleet) -> Duration {
    let ticket = TicketNumber(3);
    fleet.publish(ticket.0, vec![key_object("k", Some("account-0"))]);
    let published_at = fleet.now;
    let is_in_force = |fleet: &CoreFleet| {
        fleet
            .vms
            .iter()
            .all(|vm| vm.core.configuration().ticket_in_force() >= ticket)
    };
    while !is_in_force(fleet) && fleet.now.since(published_at) < IN_FORCE_LIMIT {
        fleet.run_for(STEP);
    }
    fleet.now.since(published_at)
}

fn resident_kib() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_KIB
}
