//! Cap'n Proto encoding of names, identifiers and durations.

use std::time::Duration;

use capnp::text;
use capnp::text_list;

use crate::catalog::Name;
use crate::peer::generated::common_capnp::request_id;
use crate::peer::WireError;
use crate::request::RequestId;

/// Writes a request identifier.
pub fn write_request_id(id: RequestId, mut builder: request_id::Builder<'_>) {
    let [high, low] = halves(id.0);
    builder.set_high(high);
    builder.set_low(low);
}

/// Reads a request identifier.
pub fn read_request_id(reader: request_id::Reader<'_>) -> RequestId {
    RequestId(u128::from(reader.get_high()) << 64 | u128::from(reader.get_low()))
}

/// Reads a name; `object` is the kind of the named object, for errors.
///
/// # Errors
///
/// Returns [`WireError::OutOfRange`] if the text is not a valid name.
pub(super) fn read_name(reader: text::Reader<'_>, object: &'static str) -> Result<Name, WireError> {
    Name::new(reader.to_str()?).map_err(|_| WireError::OutOfRange { field: object })
}

/// Reads a name and resolves it with `find`.
///
/// # Errors
///
/// Returns [`WireError::UnknownName`] if `find` finds nothing.
pub(super) fn read_known<K>(
    reader: text::Reader<'_>,
    object: &'static str,
    find: impl Fn(&Name) -> Option<K>,
) -> Result<K, WireError> {
    let name = read_name(reader, object)?;
    find(&name).ok_or_else(|| WireError::UnknownName {
        object,
        name: name.as_str().to_owned(),
    })
}

/// Reads names and resolves each with `find`.
///
/// # Errors
///
/// Returns [`WireError::UnknownName`] if `find` finds nothing for one of them.
pub(super) fn read_all_known<K>(
    reader: text_list::Reader<'_>,
    object: &'static str,
    find: impl Fn(&Name) -> Option<K>,
) -> Result<Vec<K>, WireError> {
    reader
        .iter()
        .map(|text| read_known(text?, object, &find))
        .collect()
}

/// Returns a duration in whole microseconds, saturating.
pub(super) fn as_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn halves(value: u128) -> [u64; 2] {
    let bytes = value.to_be_bytes();
    let half = |start: usize| {
        let mut part = [0; 8];
        part.copy_from_slice(&bytes[start..start + 8]);
        u64::from_be_bytes(part)
    };
    [half(0), half(8)]
}
