//! Cap'n Proto encoding of record and attempt identifiers.

use super::AttemptId;
use super::RecordId;
use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::peer::generated::idempotency_capnp::attempt_id;
use crate::peer::generated::idempotency_capnp::record_id;
use crate::peer::WireError;
use crate::request::IdempotencyKey;

/// Written for an account that has left the catalog. It is not a valid name, so a reader rejects the
/// record instead of taking it for one without an account.
const UNPUBLISHED: &str = "?";

pub(super) fn write_record_id(
    catalog: &Catalog,
    id: &RecordId,
    mut builder: record_id::Builder<'_>,
) {
    if let Some(key) = id.client_account {
        let account = catalog.client_accounts.get(key);
        let name = account.map_or(UNPUBLISHED, |account| account.name.as_str());
        builder.set_client_account(name);
    }
    builder.set_key(id.key.as_str());
}

pub(super) fn read_record_id(
    catalog: &Catalog,
    reader: record_id::Reader<'_>,
) -> Result<RecordId, WireError> {
    let account = text(reader.get_client_account()?)?;
    let client_account = if account.is_empty() {
        None
    } else {
        let key = name(account)
            .and_then(|name| catalog.client_account_named(&name))
            .ok_or_else(|| unknown("client account", account))?;
        Some(key)
    };
    let key = IdempotencyKey::new(text(reader.get_key()?)?)
        .map_err(|_| WireError::OutOfRange { field: "key" })?;
    Ok(RecordId {
        client_account,
        key,
    })
}

pub(super) fn read_optional_record_id(
    catalog: &Catalog,
    is_present: bool,
    reader: record_id::Reader<'_>,
) -> Result<Option<RecordId>, WireError> {
    if !is_present {
        return Ok(None);
    }
    read_record_id(catalog, reader).map(Some)
}

pub(super) fn write_attempt(
    catalog: &Catalog,
    attempt: &AttemptId,
    mut builder: attempt_id::Builder<'_>,
) {
    if let Some(vm) = catalog.vms.get(attempt.coordinator) {
        builder.set_coordinator(vm.name.as_str());
    }
    builder.set_boot(attempt.boot);
    builder.set_sequence(attempt.sequence);
}

pub(super) fn read_attempt(
    catalog: &Catalog,
    reader: attempt_id::Reader<'_>,
) -> Result<AttemptId, WireError> {
    let coordinator = text(reader.get_coordinator()?)?;
    let coordinator = name(coordinator)
        .and_then(|name| catalog.vm_named(&name))
        .ok_or_else(|| unknown("VM", coordinator))?;
    Ok(AttemptId {
        coordinator,
        boot: reader.get_boot(),
        sequence: reader.get_sequence(),
    })
}

pub(super) fn text(reader: capnp::text::Reader<'_>) -> Result<&str, WireError> {
    reader.to_str().map_err(|error| WireError::Malformed {
        reason: error.to_string(),
    })
}

pub(super) fn name(text: &str) -> Option<Name> {
    Name::new(text).ok()
}

pub(super) fn unknown(object: &'static str, name: &str) -> WireError {
    WireError::UnknownName {
        object,
        name: name.to_owned(),
    }
}
