//! Cap'n Proto encoding of the ends of endpoints' processes.

use std::time::Duration;

use super::wire::length;
use super::FleetWireError;
use super::MessageEnd;
use super::MessageProcess;
use crate::peer::generated::fleet_capnp as schema;
use crate::quarantine::InstanceHash;

/// The largest number of ends, and of sightings, in a message.
const ENDS_MAX: usize = 256;

/// The value of an age field for "never".
const NEVER_MS: u32 = u32::MAX;

pub(super) fn encode_ends(mut to: schema::fleet_message::Builder<'_>, ends: &[MessageEnd]) {
    let mut entries = to
        .reborrow()
        .init_process_ends(length(ends.len().min(ENDS_MAX)));
    for (index, end) in (0..entries.len()).zip(ends) {
        let mut entry = entries.reborrow().get(index);
        entry.set_endpoint(end.endpoint.0);
        entry.set_ended_age_ms(age_ms(end.ended_age));
        entry.set_is_certain(end.is_certain);
        entry.set_returned_age_ms(end.returned_age.map_or(NEVER_MS, age_ms));
    }
}

pub(super) fn encode_processes(
    mut to: schema::fleet_message::Builder<'_>,
    processes: &[MessageProcess],
) {
    let count = length(processes.len().min(ENDS_MAX));
    let mut entries = to.reborrow().init_process_sightings(count);
    for (index, process) in (0..entries.len()).zip(processes) {
        let mut entry = entries.reborrow().get(index);
        entry.set_endpoint(process.endpoint.0);
        entry.set_since_age_ms(age_ms(process.since_age));
        // Rounded up, so that an age never shrinks in transit.
        entry.set_seen_age_ms(age_ms(process.seen_age).saturating_add(1));
    }
}

pub(super) fn decode_ends(
    from: schema::fleet_message::Reader<'_>,
) -> Result<Vec<MessageEnd>, FleetWireError> {
    let ends = from.get_process_ends()?.iter().take(ENDS_MAX);
    let ends = ends.map(|end| MessageEnd {
        endpoint: InstanceHash(end.get_endpoint()),
        ended_age: age(end.get_ended_age_ms()),
        is_certain: end.get_is_certain(),
        returned_age: Some(end.get_returned_age_ms())
            .filter(|age_ms| *age_ms != NEVER_MS)
            .map(age),
    });
    Ok(ends.collect())
}

pub(super) fn decode_processes(
    from: schema::fleet_message::Reader<'_>,
) -> Result<Vec<MessageProcess>, FleetWireError> {
    let processes = from.get_process_sightings()?.iter().take(ENDS_MAX);
    let processes = processes.map(|process| MessageProcess {
        endpoint: InstanceHash(process.get_endpoint()),
        since_age: age(process.get_since_age_ms()),
        seen_age: age(process.get_seen_age_ms()),
    });
    Ok(processes.collect())
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(NEVER_MS - 1)
}

fn age(age_ms: u32) -> Duration {
    Duration::from_millis(u64::from(age_ms))
}
