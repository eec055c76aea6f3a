//! Cap'n Proto encoding of idempotency messages; catalog objects are identified by name.

use capnp::struct_list;

use super::wire_ids::read_attempt;
use super::wire_ids::read_optional_record_id;
use super::wire_ids::read_record_id;
use super::wire_ids::write_attempt;
use super::wire_ids::write_record_id;
use super::wire_record::read_copy;
use super::wire_record::write_copy;
use super::AttemptId;
use super::IdempotencyMessage;
use super::RecordCopy;
use super::RecordId;
use crate::catalog::Catalog;
use crate::peer::generated::idempotency_capnp::idempotency_message;
use crate::peer::generated::idempotency_capnp::record_copy;
use crate::peer::generated::idempotency_capnp::submission;
use crate::peer::generated::idempotency_capnp::sync_page;
use crate::peer::generated::idempotency_capnp::sync_request;
use crate::peer::WireError;

impl IdempotencyMessage {
    /// Writes the message.
    ///
    /// An object that `catalog` no longer has is written without a valid name, so that the reader
    /// rejects the message.
    pub fn write(&self, catalog: &Catalog, mut builder: idempotency_message::Builder<'_>) {
        match self {
            Self::Prepare(copy) => write_copy(catalog, copy, builder.init_prepare()),
            Self::Prepared { id, attempt } => {
                write_submission(catalog, id, attempt, builder.init_prepared())
            }
            Self::Unsettled { id, attempt } => {
                write_submission(catalog, id, attempt, builder.init_unsettled())
            }
            Self::Known { asked, copy } => {
                let mut known = builder.init_known();
                write_attempt(catalog, asked, known.reborrow().init_asked());
                write_copy(catalog, copy, known.init_copy());
            }
            Self::Update(copy) => write_copy(catalog, copy, builder.init_update()),
            Self::Query { id, attempt } => {
                write_submission(catalog, id, attempt, builder.init_query())
            }
            Self::Release { id, attempt } => {
                write_submission(catalog, id, attempt, builder.init_release())
            }
            Self::SyncRequest { boot, after } => {
                let mut request = builder.init_sync_request();
                request.set_boot(*boot);
                if let Some(after) = after {
                    write_record_id(catalog, after, request.init_after());
                }
            }
            Self::SyncPage {
                boot,
                after,
                records,
                next,
            } => {
                let mut page = builder.reborrow().init_sync_page();
                page.set_boot(*boot);
                if let Some(after) = after {
                    write_record_id(catalog, after, page.reborrow().init_after());
                }
                if let Some(next) = next {
                    write_record_id(catalog, next, page.reborrow().init_next());
                }
                let length = u32::try_from(records.len()).unwrap_or(u32::MAX);
                write_copies(catalog, records, page.init_records(length));
            }
        }
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Returns a [`WireError`] if the bytes do not follow the schema, or name an object that
    /// `catalog` does not have.
    pub fn read(
        reader: idempotency_message::Reader<'_>,
        catalog: &Catalog,
    ) -> Result<Self, WireError> {
        use idempotency_message::Which;
        Ok(match reader.which()? {
            Which::Prepare(copy) => Self::Prepare(Box::new(read_copy(catalog, copy?)?)),
            Which::Prepared(submission) => {
                let (id, attempt) = read_submission(catalog, submission?)?;
                Self::Prepared { id, attempt }
            }
            Which::Unsettled(submission) => {
                let (id, attempt) = read_submission(catalog, submission?)?;
                Self::Unsettled { id, attempt }
            }
            Which::Known(known) => {
                let known = known?;
                Self::Known {
                    asked: read_attempt(catalog, known.get_asked()?)?,
                    copy: Box::new(read_copy(catalog, known.get_copy()?)?),
                }
            }
            Which::Update(copy) => Self::Update(Box::new(read_copy(catalog, copy?)?)),
            Which::Query(submission) => {
                let (id, attempt) = read_submission(catalog, submission?)?;
                Self::Query { id, attempt }
            }
            Which::Release(submission) => {
                let (id, attempt) = read_submission(catalog, submission?)?;
                Self::Release { id, attempt }
            }
            Which::SyncRequest(request) => read_sync_request(catalog, request?)?,
            Which::SyncPage(page) => read_sync_page(catalog, page?)?,
        })
    }
}

fn write_submission(
    catalog: &Catalog,
    id: &RecordId,
    attempt: &AttemptId,
    mut builder: submission::Builder<'_>,
) {
    write_record_id(catalog, id, builder.reborrow().init_id());
    write_attempt(catalog, attempt, builder.init_attempt());
}

fn read_submission(
    catalog: &Catalog,
    reader: submission::Reader<'_>,
) -> Result<(RecordId, AttemptId), WireError> {
    let id = read_record_id(catalog, reader.get_id()?)?;
    let attempt = read_attempt(catalog, reader.get_attempt()?)?;
    Ok((id, attempt))
}

fn write_copies(
    catalog: &Catalog,
    copies: &[RecordCopy],
    mut builder: struct_list::Builder<'_, record_copy::Owned>,
) {
    for (index, copy) in (0..builder.len()).zip(copies) {
        write_copy(catalog, copy, builder.reborrow().get(index));
    }
}

fn read_sync_request(
    catalog: &Catalog,
    reader: sync_request::Reader<'_>,
) -> Result<IdempotencyMessage, WireError> {
    Ok(IdempotencyMessage::SyncRequest {
        boot: reader.get_boot(),
        after: read_optional_record_id(catalog, reader.has_after(), reader.get_after()?)?,
    })
}

/// Reads a page; records that name objects unknown to `catalog` are skipped.
fn read_sync_page(
    catalog: &Catalog,
    reader: sync_page::Reader<'_>,
) -> Result<IdempotencyMessage, WireError> {
    let records = reader
        .get_records()?
        .iter()
        .filter_map(|copy| read_copy(catalog, copy).ok())
        .collect();
    Ok(IdempotencyMessage::SyncPage {
        boot: reader.get_boot(),
        after: read_optional_record_id(catalog, reader.has_after(), reader.get_after()?)?,
        records,
        next: read_optional_record_id(catalog, reader.has_next(), reader.get_next()?)?,
    })
}
