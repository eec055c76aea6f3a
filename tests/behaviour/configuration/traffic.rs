//! The control traffic in a fleet of the designed size, and the time that a change takes to reach a
//! large fleet.

use std::collections::HashMap;
use std::time::Duration;

use capnp::message::Builder;
use figramp::catalog::TicketNumber;
use figramp::clock::Monotonic;
use figramp::configuration::ConfigurationAction;
use figramp::configuration::ConfigurationController;
use figramp::configuration::ConfigurationMessage;
use figramp::configuration::ConfigurationSettings;
use figramp::configuration::ReadKind;
use figramp::configuration::VmIdentity;
use figramp::peer::generated::configuration_capnp::configuration_message;
use figramp::publication::TicketBatch;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::fleet::identity;
use super::fleet::key_ticket;
use super::fleet::roster_ticket;
use super::fleet::view_of_all;
use super::fleet::Fleet;

const REGION_COUNT: usize = 27;
const VMS_PER_REGION: usize = 29;
const CONTROL_BUDGET_BYTES_PER_S: usize = 4_096;
/// The fleet that a change has to reach is smaller than the designed one, which the capacity
/// benchmark runs.
const REACHED_REGIONS: usize = 9;
const REACHED_VMS_PER_REGION: usize = 5;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(8);

fn region_names() -> Vec<String> {
    let letters = ('a'..='z').chain('0'..='9');
    letters
        .take(REGION_COUNT)
        .map(|letter| format!("{letter}-region"))
        .collect()
}

fn size_bytes(message: &ConfigurationMessage) -> usize {
    let mut builder = Builder::new_default();
    message.write(builder.init_root::<configuration_message::Builder<'_>>());
    capnp::serialize::compute_serialized_size_in_words(&builder) * 8
}

/// Returns the bytes that a VM sends in a minute without changes.
fn idle_minute_bytes(local_vm: &VmIdentity, roster: &TicketBatch) -> usize {
    let settings = ConfigurationSettings::default();
    let start = Monotonic::ZERO;
    let mut controller =
        ConfigurationController::new(settings, local_vm.clone(), Vec::new(), start);
    let mut rng = StdRng::seed_from_u64(1);
    let mut out = Vec::new();
    controller.on_read(start, ReadKind::Poll, Ok(roster.clone()), &mut out);
    controller.on_read(start, ReadKind::Poll, Ok(TicketBatch::default()), &mut out);
    let view = view_of_all(&controller.catalog(), &local_vm.name);
    let mut sent_bytes = 0;
    for tick in 1..=700 {
        out.clear();
        let now = Monotonic::from_ms(tick * 100);
        controller.tick(now, &view, &mut rng, &mut out);
        let sends = out.iter().filter_map(|action| match action {
            ConfigurationAction::Send { message, .. } if tick > 100 => Some(size_bytes(message)),
            _ => None,
        });
        sent_bytes += sends.sum::<usize>();
    }
    sent_bytes
}

#[test]
fn an_idle_vm_stays_within_the_control_traffic_budget() {
    let vms: Vec<VmIdentity> = region_names()
        .iter()
        .flat_map(|region| (0..VMS_PER_REGION).map(|index| identity(region, index)))
        .collect();
    let roster = TicketBatch {
        tickets: vec![roster_ticket(&vms)],
    };
    let sent: Vec<usize> = vms[..VMS_PER_REGION]
        .iter()
        .map(|local_vm| idle_minute_bytes(local_vm, &roster) / 60)
        .collect();
    let max = sent.iter().max().copied().unwrap_or_default();
    let mean = sent.iter().sum::<usize>() / sent.len();
    println!(
        "sent per VM in a fleet of {}: mean {mean} B/s, max {max} B/s",
        vms.len()
    );
    assert!(max * 2 <= CONTROL_BUDGET_BYTES_PER_S, "{max} B/s sent");
}

#[test]
fn a_change_reaches_the_whole_fleet_within_the_limit() {
    let regions: Vec<String> = region_names().into_iter().take(REACHED_REGIONS).collect();
    let names: Vec<&str> = regions.iter().map(String::as_str).collect();
    let services: HashMap<&str, Vec<String>> = HashMap::from([
        ("all regions reach the service", regions.clone()),
        ("one region reaches the service", regions[..1].to_vec()),
    ]);
    for (label, regions_with_service) in services {
        let mut fleet = Fleet::new(1, &names, REACHED_VMS_PER_REGION);
        fleet.run(Duration::from_secs(8));
        assert!(fleet.is_converged());
        fleet.regions_with_service = regions_with_service.into_iter().collect();
        fleet.published.push(key_ticket(2, "nursery-key", None));
        let published_at = fleet.now;
        let is_done = |fleet: &Fleet| {
            let mut nodes = fleet.nodes.iter();
            nodes.all(|node| node.controller.ticket_in_force() == TicketNumber(2))
        };
        while !is_done(&fleet) {
            fleet.step();
        }
        let took = fleet.now.since(published_at);
        println!(
            "{label}: {} VMs, in force everywhere after {took:?}",
            fleet.nodes.len()
        );
        assert!(took <= IN_FORCE_LIMIT, "{label}: {took:?}");
    }
}
