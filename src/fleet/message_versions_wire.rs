//! Cap'n Proto encoding of the software versions in a gossip message.

use std::time::Duration;

use super::FleetWireError;
use super::MessageSighting;
use super::MessageVersions;
use super::NameHash;
use crate::deployment::SoftwareVersion;
use crate::peer::generated::fleet_capnp as schema;

/// The largest number of versions in a message.
const SIGHTINGS_MAX: usize = 256;

pub(super) fn encode_versions(
    mut to: schema::fleet_message::Builder<'_>,
    versions: &MessageVersions,
) {
    let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    // Versions that are left out make the others incomplete.
    let is_complete = versions.sightings.len() <= SIGHTINGS_MAX;
    let complete_age = versions.complete_age.filter(|_| is_complete);
    to.set_versions_complete_ms(complete_age.map_or(0, age_ms));
    let count = versions.sightings.len().min(SIGHTINGS_MAX);
    let mut entries = to.init_version_sightings(u32::try_from(count).unwrap_or(0));
    for (index, sighting) in (0..).zip(&versions.sightings[..count]) {
        let mut entry = entries.reborrow().get(index);
        entry.set_service(sighting.service.0);
        entry.set_seen_age_ms(age_ms(sighting.seen_age));
        entry.set_version(sighting.version.map_or(0, SoftwareVersion::hash));
    }
}

pub(super) fn decode_versions(
    from: schema::fleet_message::Reader<'_>,
) -> Result<MessageVersions, FleetWireError> {
    let age = |age_ms: u32| Duration::from_millis(u64::from(age_ms));
    let sightings = from.get_version_sightings()?.iter().take(SIGHTINGS_MAX);
    Ok(MessageVersions {
        complete_age: Some(from.get_versions_complete_ms())
            .filter(|age_ms| *age_ms > 0)
            .map(age),
        sightings: sightings
            .map(|sighting| MessageSighting {
                service: NameHash(sighting.get_service()),
                version: SoftwareVersion::from_hash(sighting.get_version()),
                seen_age: age(sighting.get_seen_age_ms()),
            })
            .collect(),
    })
}
