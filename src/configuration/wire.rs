//! Cap'n Proto encoding of messages about change tickets.

use super::BucketIndex;
use super::BucketVersions;
use super::ConfigurationMessage;
use super::ContentHash;
use super::ObjectHash;
use super::ObjectId;
use super::ObjectKind;
use super::ObjectRecord;
use super::ObjectVersion;
use super::ReplyMode;
use super::RootDigest;
use super::SenderPhase;
use super::StoreDigest;
use super::Summary;
use super::Version;
use super::BUCKET_COUNT;
use super::TICKET_NUMBER_MAX;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::peer::generated::configuration_capnp as capnp_form;
use crate::peer::generated::configuration_capnp::configuration_message::Which;
use crate::peer::WireError;

impl ConfigurationMessage {
    /// Writes the message.
    pub fn write(&self, builder: capnp_form::configuration_message::Builder<'_>) {
        match self {
            Self::Summary(summary) => write_summary(summary, builder.init_summary()),
            Self::Buckets(digest) => {
                let list = builder.init_buckets(list_len(&digest.buckets));
                write_words(digest.buckets.iter().copied(), list);
            }
            Self::Versions(buckets) => {
                let mut list = builder.init_versions(list_len(buckets));
                for (position, bucket) in (0..).zip(buckets) {
                    write_versions(bucket, list.reborrow().get(position));
                }
            }
            Self::Wanted(objects) => {
                let list = builder.init_wanted(list_len(objects));
                write_words(objects.iter().map(|object| object.0), list);
            }
            Self::Objects(records) => {
                let mut list = builder.init_objects(list_len(records));
                for (position, record) in (0..).zip(records) {
                    write_record(record, list.reborrow().get(position));
                }
            }
        }
    }

    /// Reads and validates a message.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if the message is malformed or holds an invalid value.
    pub fn read(reader: capnp_form::configuration_message::Reader<'_>) -> Result<Self, WireError> {
        Ok(match reader.which()? {
            Which::Summary(summary) => Self::Summary(read_summary(summary?)?),
            Which::Buckets(buckets) => Self::Buckets(read_buckets(buckets?)?),
            Which::Versions(buckets) => {
                let buckets = buckets?.iter().map(read_versions);
                Self::Versions(buckets.collect::<Result<_, WireError>>()?)
            }
            Which::Wanted(objects) => Self::Wanted(objects?.iter().map(ObjectHash).collect()),
            Which::Objects(records) => {
                let records = records?.iter().map(read_record);
                Self::Objects(records.collect::<Result<_, WireError>>()?)
            }
        })
    }
}

fn list_len<T>(values: &[T]) -> u32 {
    u32::try_from(values.len()).expect("a message holds fewer than 2^32 items")
}

fn write_words(
    words: impl Iterator<Item = u64>,
    mut list: capnp::primitive_list::Builder<'_, u64>,
) {
    for (position, word) in (0..).zip(words) {
        list.set(position, word);
    }
}

fn write_summary(summary: &Summary, mut builder: capnp_form::summary::Builder<'_>) {
    builder.set_root(summary.root.0);
    builder.set_ticket(summary.ticket.0);
    builder.set_phase(match summary.phase {
        SenderPhase::Booting => capnp_form::Phase::Booting,
        SenderPhase::Ready => capnp_form::Phase::Ready,
    });
    builder.set_reply(match summary.reply {
        ReplyMode::NotWanted => capnp_form::ReplyMode::NotWanted,
        ReplyMode::Wanted => capnp_form::ReplyMode::Wanted,
    });
}

fn read_summary(reader: capnp_form::summary::Reader<'_>) -> Result<Summary, WireError> {
    Ok(Summary {
        root: RootDigest(reader.get_root()),
        ticket: TicketNumber(reader.get_ticket()),
        phase: match reader.get_phase()? {
            capnp_form::Phase::Booting => SenderPhase::Booting,
            capnp_form::Phase::Ready => SenderPhase::Ready,
        },
        reply: match reader.get_reply()? {
            capnp_form::ReplyMode::NotWanted => ReplyMode::NotWanted,
            capnp_form::ReplyMode::Wanted => ReplyMode::Wanted,
        },
    })
}

fn read_buckets(list: capnp::primitive_list::Reader<'_, u64>) -> Result<StoreDigest, WireError> {
    let buckets: Vec<u64> = list.iter().collect();
    if buckets.len() != BUCKET_COUNT {
        return Err(WireError::OutOfRange { field: "buckets" });
    }
    Ok(StoreDigest { buckets })
}

fn write_versions(bucket: &BucketVersions, mut builder: capnp_form::bucket_versions::Builder<'_>) {
    builder.set_bucket(bucket.index.as_u8());
    let mut list = builder.init_versions(list_len(&bucket.versions));
    for (position, entry) in (0..).zip(&bucket.versions) {
        let mut builder = list.reborrow().get(position);
        builder.set_object(entry.object.0);
        builder.set_ticket(entry.version.ticket.0);
        builder.set_content(entry.version.content.0);
    }
}

fn read_versions(
    reader: capnp_form::bucket_versions::Reader<'_>,
) -> Result<BucketVersions, WireError> {
    let index = BucketIndex::new(reader.get_bucket());
    let index = index.ok_or(WireError::OutOfRange { field: "bucket" })?;
    let versions = reader.get_versions()?.iter().map(|entry| ObjectVersion {
        object: ObjectHash(entry.get_object()),
        version: Version {
            ticket: TicketNumber(entry.get_ticket()),
            content: ContentHash(entry.get_content()),
        },
    });
    Ok(BucketVersions {
        index,
        versions: versions.collect(),
    })
}

fn write_record(record: &ObjectRecord, mut builder: capnp_form::object_record::Builder<'_>) {
    builder.set_kind(kind_form(record.id.kind));
    builder.set_name(record.id.name.as_str());
    builder.set_ticket(record.version.ticket.0);
    builder.set_value(&record.text);
}

fn read_record(reader: capnp_form::object_record::Reader<'_>) -> Result<ObjectRecord, WireError> {
    let name = Name::new(reader.get_name()?.to_str().map_err(capnp::Error::from)?);
    let id = ObjectId {
        kind: kind(reader.get_kind()?),
        name: name.map_err(|_| WireError::OutOfRange { field: "name" })?,
    };
    let ticket = TicketNumber(reader.get_ticket());
    if !(1..=TICKET_NUMBER_MAX).contains(&ticket.0) {
        return Err(WireError::OutOfRange { field: "ticket" });
    }
    ObjectRecord::from_text(ticket, id, reader.get_value()?)
        .map_err(|_| WireError::OutOfRange { field: "value" })
}

fn kind_form(kind: ObjectKind) -> capnp_form::ObjectKind {
    match kind {
        ObjectKind::Region => capnp_form::ObjectKind::Region,
        ObjectKind::Vm => capnp_form::ObjectKind::Vm,
        ObjectKind::ClientAccount => capnp_form::ObjectKind::ClientAccount,
        ObjectKind::ApiKey => capnp_form::ObjectKind::ApiKey,
        ObjectKind::Route => capnp_form::ObjectKind::Route,
        ObjectKind::Endpoint => capnp_form::ObjectKind::Endpoint,
        ObjectKind::PlacementRule => capnp_form::ObjectKind::PlacementRule,
    }
}

fn kind(form: capnp_form::ObjectKind) -> ObjectKind {
    match form {
        capnp_form::ObjectKind::Region => ObjectKind::Region,
        capnp_form::ObjectKind::Vm => ObjectKind::Vm,
        capnp_form::ObjectKind::ClientAccount => ObjectKind::ClientAccount,
        capnp_form::ObjectKind::ApiKey => ObjectKind::ApiKey,
        capnp_form::ObjectKind::Route => ObjectKind::Route,
        capnp_form::ObjectKind::Endpoint => ObjectKind::Endpoint,
        capnp_form::ObjectKind::PlacementRule => ObjectKind::PlacementRule,
    }
}
