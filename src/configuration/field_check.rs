//! Checks of single fields in values of change tickets.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::FieldError;
use crate::catalog::Name;

pub(super) fn name(field: &str, text: &str) -> Result<Name, FieldError> {
    Name::new(text).map_err(|error| FieldError::new(field, format!("{error}, got {text:?}")))
}

pub(super) fn names(field: &str, texts: &[String]) -> Result<Vec<Name>, FieldError> {
    let names = texts
        .iter()
        .enumerate()
        .map(|(index, text)| name(&format!("{field}[{index}]"), text))
        .collect::<Result<Vec<Name>, FieldError>>()?;
    distinct(field, names.iter())?;
    Ok(names)
}

pub(super) fn non_empty<T>(field: &str, values: &[T]) -> Result<(), FieldError> {
    if values.is_empty() {
        return Err(FieldError::new(field, "expected at least one entry"));
    }
    Ok(())
}

pub(super) fn distinct<T: Display + Eq + Hash>(
    field: &str,
    values: impl Iterator<Item = T>,
) -> Result<(), FieldError> {
    let mut seen = HashSet::new();
    for value in values {
        let text = value.to_string();
        if !seen.insert(value) {
            let problem = format!("expected each entry once, got {text} twice");
            return Err(FieldError::new(field, problem));
        }
    }
    Ok(())
}

pub(super) fn range<T: Copy + Display + PartialOrd>(
    field: &str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Result<T, FieldError> {
    if allowed.contains(&value) {
        return Ok(value);
    }
    let (start, end) = (allowed.start(), allowed.end());
    let problem = format!("expected an integer from {start} to {end}, got {value}");
    Err(FieldError::new(field, problem))
}

pub(super) fn address(field: &str, address: SocketAddr) -> Result<SocketAddr, FieldError> {
    if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
        let problem = format!("expected the IP address and port of one machine, got {address}");
        return Err(FieldError::new(field, problem));
    }
    Ok(address)
}

pub(super) fn path_prefix(field: &str, prefix: &str) -> Result<String, FieldError> {
    let has_valid_shape = prefix.len() > 1
        && prefix.starts_with('/')
        && !prefix.ends_with('/')
        && !prefix.contains("//")
        && !prefix.split('/').any(|part| matches!(part, "." | ".."))
        && prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#' | b'%' | b'\\'));
    if !has_valid_shape {
        let problem = format!("expected a path such as \"/bookings\", got {prefix:?}");
        return Err(FieldError::new(field, problem));
    }
    if prefix == RESERVED_PREFIX || prefix.starts_with("/v1/") {
        let problem = format!("expected a path outside {RESERVED_PREFIX}, got {prefix:?}");
        return Err(FieldError::new(field, problem));
    }
    Ok(prefix.to_owned())
}

const RESERVED_PREFIX: &str = "/v1";
