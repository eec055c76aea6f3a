//! Cap'n Proto encoding of the datagrams.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::ReaderOptions;
use capnp::serialize_packed;
use capnp::struct_list;

use super::loads_wire::decode_loads;
use super::loads_wire::encode_loads;
use super::message_ends_wire::decode_ends;
use super::message_ends_wire::decode_processes;
use super::message_ends_wire::encode_ends;
use super::message_ends_wire::encode_processes;
use super::message_versions_wire::decode_versions;
use super::message_versions_wire::encode_versions;
use super::AccountUsage;
use super::EndpointBacklog;
use super::FleetMessage;
use super::FleetWireError;
use super::MessageAnsweredPart;
use super::MessageCrash;
use super::MessageCrashes;
use super::MessageDigest;
use super::MessageRate;
use super::NameHash;
use super::ServiceWait;
use super::VmPhase;
use super::VmRow;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::EndpointListing;
use crate::deployment::EndpointPhase;
use crate::deployment::EndpointRecord;
use crate::deployment::InstanceId;
use crate::deployment::ListingVersion;
use crate::deployment::SoftwareVersion;
use crate::deployment::ZoneKey;
use crate::peer::generated::fleet_capnp as schema;
use crate::peer::generated::fleet_capnp::named_rate;
use crate::quarantine::CrashReport;
use crate::quarantine::InstanceHash;
use crate::quarantine::PartHash;

/// The value of an age field for "never confirmed".
const AGE_UNKNOWN_MS: u32 = u32::MAX;

/// The unit of a backlog in a message.
const BACKLOG_UNIT_TOKENS: u64 = 16;

/// The largest number of crashes that are read from a message.
const CRASHES_MAX: usize = 64;

/// The largest number of answered parts that are read from a message.
const ANSWERED_PARTS_MAX: usize = 512;

/// The largest number of rates in a message.
const RATES_MAX: usize = 256;

/// The value of an age field for "never".
const NEVER_MS: u32 = u32::MAX;

/// Encodes a message.
///
/// # Errors
///
/// Returns an error if Cap'n Proto cannot serialize it.
pub fn encode_message(message: &FleetMessage) -> Result<Vec<u8>, FleetWireError> {
    let mut builder = Builder::new_default();
    let mut root: schema::fleet_message::Builder<'_> = builder.init_root();
    root.set_sent_at_ms(message.sent_at.as_ms());
    root.set_echoed_ms(message.request_sent_at.map_or(0, Monotonic::as_ms));
    encode_digest(root.reborrow().init_digest(), &message.digest);
    let mut rows = root.reborrow().init_rows(length(message.rows.len()));
    for (index, row) in (0..).zip(&message.rows) {
        encode_row(rows.reborrow().get(index), row);
    }
    encode_crashes(root.reborrow(), &message.crashes);
    let count = length(message.rates.len().min(RATES_MAX));
    encode_rates(root.reborrow().init_named_rates(count), &message.rates);
    let count = length(message.refusal_rates.len().min(RATES_MAX));
    encode_rates(
        root.reborrow().init_refusal_rates(count),
        &message.refusal_rates,
    );
    encode_versions(root.reborrow(), &message.versions);
    encode_ends(root.reborrow(), &message.ends);
    encode_processes(root.reborrow(), &message.processes);
    if let Some(listing) = &message.listing {
        encode_listing(root.init_listing(), listing);
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &builder)?;
    Ok(bytes)
}

pub(super) fn length(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn encode_digest(mut to: schema::belief_digest::Builder<'_>, digest: &MessageDigest) {
    to.set_configuration_version(digest.configuration_version);
    to.set_configuration_age_ms(encode_age(digest.configuration_age));
    to.set_listing_revision(digest.listing_version.revision);
    to.set_listing_era(digest.listing_version.era);
    to.set_listing_hash(digest.listing_hash);
    to.set_listing_age_ms(encode_age(digest.listing_age));
}

fn encode_age(age: Option<Duration>) -> u32 {
    // Rounded up, so that an age never shrinks in transit.
    age.and_then(|age| u32::try_from(age.as_millis() + 1).ok())
        .unwrap_or(AGE_UNKNOWN_MS)
}

fn decode_age(age_ms: u32) -> Option<Duration> {
    (age_ms != AGE_UNKNOWN_MS).then(|| Duration::from_millis(u64::from(age_ms)))
}

fn encode_crashes(mut to: schema::fleet_message::Builder<'_>, reports: &MessageCrashes) {
    let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
    let mut crashes = to.reborrow().init_crashes(length(reports.crashes.len()));
    for (index, crash) in (0..).zip(&reports.crashes) {
        let mut entry = crashes.reborrow().get(index);
        entry.set_endpoint(crash.endpoint.0);
        entry.set_began_age_ms(age_ms(crash.began_age));
        entry.set_crashed_age_ms(age_ms(crash.crashed_age));
        let mut parts = entry.init_parts(length(crash.parts.len()));
        for (index, part) in (0..).zip(&crash.parts) {
            parts.set(index, part.0);
        }
    }
    let mut answered = to.init_answered_parts(length(reports.answered.len()));
    for (index, part) in (0..).zip(&reports.answered) {
        let mut entry = answered.reborrow().get(index);
        entry.set_part(part.part.0);
        entry.set_age_ms(age_ms(part.age));
    }
}

fn encode_rates(mut to: struct_list::Builder<'_, named_rate::Owned>, rates: &[MessageRate]) {
    let age_ms = |age: Duration| u32::try_from(age.as_millis()).unwrap_or(NEVER_MS - 1);
    for (index, rate) in (0..to.len()).zip(rates) {
        let mut entry = to.reborrow().get(index);
        entry.set_endpoint(rate.endpoint.0);
        entry.set_rate_milli((rate.rate_per_s * 1_000.0) as u32);
        entry.set_named_age_ms(age_ms(rate.named_age));
        entry.set_unlimited_age_ms(rate.unlimited_age.map_or(NEVER_MS, age_ms));
    }
}

fn encode_row(mut to: schema::vm_row::Builder<'_>, row: &VmRow) {
    to.set_ip(u32::from(row.ip));
    to.set_zone(row.zone.0);
    to.set_incarnation(row.incarnation);
    to.set_beat(row.beat);
    to.set_phase(match row.phase {
        VmPhase::Starting => schema::Phase::Starting,
        VmPhase::Ready => schema::Phase::Ready,
        VmPhase::Leaving => schema::Phase::Leaving,
    });
    to.set_reads_store(row.reads_store);
    to.set_is_cut_off(row.is_cut_off);
    let mut waits = to.reborrow().init_waits(length(row.waits.len()));
    for (index, wait) in (0..).zip(&row.waits) {
        let mut entry = waits.reborrow().get(index);
        entry.set_service(wait.service.0);
        entry.set_wait_ms(wait.wait_ms);
    }
    let mut usage = to.reborrow().init_usage(length(row.usage.len()));
    for (index, used) in (0..).zip(&row.usage) {
        let mut entry = usage.reborrow().get(index);
        entry.set_account(used.account.0);
        entry.set_units(used.units);
    }
    let mut backlogs = to.reborrow().init_backlogs(length(row.backlogs.len()));
    for (index, backlog) in (0..).zip(&row.backlogs) {
        let mut entry = backlogs.reborrow().get(index);
        let units = backlog.prefill_tokens.div_ceil(BACKLOG_UNIT_TOKENS);
        entry.set_endpoint(backlog.endpoint.0);
        entry.set_priority(backlog.priority);
        entry.set_prefill_tokens16(u16::try_from(units).unwrap_or(u16::MAX));
    }
    encode_loads(to, &row.loads);
}

fn encode_listing(mut to: schema::listing::Builder<'_>, listing: &EndpointListing) {
    let count = length(listing.endpoints.len());
    let mut endpoints = to.reborrow().init_endpoints(count);
    for (index, endpoint) in (0..).zip(&listing.endpoints) {
        let mut entry = endpoints.reborrow().get(index);
        entry.set_id(endpoint.instance.id.as_str());
        entry.set_started_unix_ms(endpoint.instance.started_unix_ms);
        entry.set_service(endpoint.service.as_str());
        if let SocketAddr::V4(address) = endpoint.address {
            entry.set_ip(u32::from(*address.ip()));
        }
        entry.set_port(endpoint.address.port());
        entry.set_zone(endpoint.zone.0);
        entry.set_slots(endpoint.slots);
        entry.set_is_draining(endpoint.phase == EndpointPhase::Draining);
        let cold_ms = endpoint.cold_remaining.as_millis();
        entry.set_cold_remaining_ms(u32::try_from(cold_ms).unwrap_or(u32::MAX));
        entry.set_sequence(endpoint.sequence);
        entry.set_software_version(endpoint.version.map_or(0, SoftwareVersion::hash));
    }
    let mut zones = to.init_evacuated_zones(length(listing.evacuated.len()));
    for (index, zone) in (0..).zip(&listing.evacuated) {
        zones.set(index, zone.0);
    }
}

/// Decodes a message.
///
/// # Errors
///
/// Returns a [`FleetWireError`] if the bytes are not a valid message.
pub fn decode_message(bytes: &[u8]) -> Result<FleetMessage, FleetWireError> {
    let reader = serialize_packed::read_message(bytes, ReaderOptions::new())?;
    let root: schema::fleet_message::Reader<'_> = reader.get_root()?;
    let request_sent_ms = root.get_echoed_ms();
    let rows: Result<Vec<VmRow>, FleetWireError> =
        root.get_rows()?.iter().map(decode_row).collect();
    let rows = rows?;
    if rows.is_empty() {
        return Err(FleetWireError::NoSender);
    }
    let listing = if root.has_listing() {
        Some(decode_listing(root.get_listing()?)?)
    } else {
        None
    };
    Ok(FleetMessage {
        sent_at: Monotonic::from_ms(root.get_sent_at_ms()),
        request_sent_at: (request_sent_ms > 0).then(|| Monotonic::from_ms(request_sent_ms)),
        digest: decode_digest(root.get_digest()?),
        rows,
        listing,
        crashes: decode_crashes(root)?,
        rates: decode_rates(root.get_named_rates()?),
        refusal_rates: decode_rates(root.get_refusal_rates()?),
        versions: decode_versions(root)?,
        ends: decode_ends(root)?,
        processes: decode_processes(root)?,
    })
}

fn decode_digest(from: schema::belief_digest::Reader<'_>) -> MessageDigest {
    MessageDigest {
        configuration_version: from.get_configuration_version(),
        configuration_age: decode_age(from.get_configuration_age_ms()),
        listing_version: ListingVersion {
            era: from.get_listing_era(),
            revision: from.get_listing_revision(),
        },
        listing_hash: from.get_listing_hash(),
        listing_age: decode_age(from.get_listing_age_ms()),
    }
}

fn decode_crashes(
    from: schema::fleet_message::Reader<'_>,
) -> Result<MessageCrashes, FleetWireError> {
    let age = |age_ms: u32| Duration::from_millis(u64::from(age_ms));
    let mut crashes = Vec::new();
    for crash in from.get_crashes()?.iter().take(CRASHES_MAX) {
        crashes.push(MessageCrash {
            endpoint: InstanceHash(crash.get_endpoint()),
            began_age: age(crash.get_began_age_ms()),
            crashed_age: age(crash.get_crashed_age_ms()),
            parts: crash
                .get_parts()?
                .iter()
                .take(CrashReport::PARTS_MAX)
                .map(PartHash)
                .collect(),
        });
    }
    let answered = from.get_answered_parts()?.iter().take(ANSWERED_PARTS_MAX);
    let answered = answered.map(|answered| MessageAnsweredPart {
        part: PartHash(answered.get_part()),
        age: age(answered.get_age_ms()),
    });
    Ok(MessageCrashes {
        crashes,
        answered: answered.collect(),
    })
}

fn decode_rates(from: struct_list::Reader<'_, named_rate::Owned>) -> Vec<MessageRate> {
    let age = |age_ms: u32| Duration::from_millis(u64::from(age_ms));
    let rates = from.iter().take(RATES_MAX);
    let rates = rates.map(|rate| MessageRate {
        endpoint: InstanceHash(rate.get_endpoint()),
        rate_per_s: f64::from(rate.get_rate_milli()) / 1_000.0,
        named_age: age(rate.get_named_age_ms()),
        unlimited_age: Some(rate.get_unlimited_age_ms())
            .filter(|age_ms| *age_ms != NEVER_MS)
            .map(age),
    });
    rates.collect()
}

fn decode_row(from: schema::vm_row::Reader<'_>) -> Result<VmRow, FleetWireError> {
    let waits = from.get_waits()?.iter().map(|wait| ServiceWait {
        service: NameHash(wait.get_service()),
        wait_ms: wait.get_wait_ms(),
    });
    let usage = from.get_usage()?.iter().map(|used| AccountUsage {
        account: NameHash(used.get_account()),
        units: used.get_units(),
    });
    let backlogs = from.get_backlogs()?.iter().map(|backlog| EndpointBacklog {
        endpoint: NameHash(backlog.get_endpoint()),
        priority: backlog.get_priority(),
        prefill_tokens: u64::from(backlog.get_prefill_tokens16()) * BACKLOG_UNIT_TOKENS,
    });
    Ok(VmRow {
        ip: Ipv4Addr::from(from.get_ip()),
        zone: ZoneKey(from.get_zone()),
        incarnation: from.get_incarnation(),
        beat: from.get_beat(),
        phase: match from.get_phase()? {
            schema::Phase::Starting => VmPhase::Starting,
            schema::Phase::Ready => VmPhase::Ready,
            schema::Phase::Leaving => VmPhase::Leaving,
        },
        reads_store: from.get_reads_store(),
        is_cut_off: from.get_is_cut_off(),
        waits: waits.collect(),
        usage: usage.collect(),
        backlogs: backlogs.collect(),
        loads: decode_loads(from)?,
    })
}

fn decode_listing(from: schema::listing::Reader<'_>) -> Result<EndpointListing, FleetWireError> {
    let endpoints: Result<Vec<EndpointRecord>, FleetWireError> =
        from.get_endpoints()?.iter().map(decode_endpoint).collect();
    let zones = from.get_evacuated_zones()?;
    Ok(EndpointListing {
        endpoints: endpoints?,
        evacuated: zones.iter().map(ZoneKey).collect(),
    })
}

fn decode_endpoint(
    from: schema::endpoint_row::Reader<'_>,
) -> Result<EndpointRecord, FleetWireError> {
    let ip = Ipv4Addr::from(from.get_ip());
    Ok(EndpointRecord {
        instance: InstanceId {
            id: Name::new(from.get_id()?.to_str()?)?,
            started_unix_ms: from.get_started_unix_ms(),
        },
        service: Name::new(from.get_service()?.to_str()?)?,
        version: SoftwareVersion::from_hash(from.get_software_version()),
        address: SocketAddr::from((ip, from.get_port())),
        zone: ZoneKey(from.get_zone()),
        slots: from.get_slots(),
        phase: match from.get_is_draining() {
            true => EndpointPhase::Draining,
            false => EndpointPhase::Ready,
        },
        cold_remaining: Duration::from_millis(u64::from(from.get_cold_remaining_ms())),
        sequence: from.get_sequence(),
    })
}
