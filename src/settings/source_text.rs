//! Checks values of a settings file and reports errors with file, line and field.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml::Spanned;

use super::SettingsError;
use crate::catalog::Name;

/// The text of a settings file, for messages that name file, line and field.
#[derive(Clone, Copy, Debug)]
pub(super) struct SourceText<'a> {
    pub(super) file: &'a str,
    pub(super) text: &'a str,
}

impl SourceText<'_> {
    pub(super) fn name(self, field: &str, value: &Spanned<String>) -> Result<Name, SettingsError> {
        Name::new(value.get_ref()).map_err(|error| {
            self.error(field, value, format!("{error}, got {:?}", value.get_ref()))
        })
    }

    pub(super) fn address(
        self,
        field: &str,
        value: &Spanned<String>,
    ) -> Result<SocketAddr, SettingsError> {
        let parsed = value.get_ref().parse::<SocketAddr>().ok();
        let address = parsed.filter(|address| {
            address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
        });
        address.ok_or_else(|| {
            let problem = format!(
                "expected the IP address of one machine and a port, such as \"10.0.0.1:7100\", got {:?}",
                value.get_ref()
            );
            self.error(field, value, problem)
        })
    }

    /// Checks an optional number against its range; returns `default` if it is absent.
    pub(super) fn number(
        self,
        field: &str,
        value: Option<&Spanned<u64>>,
        allowed: RangeInclusive<u64>,
        default: u64,
    ) -> Result<u64, SettingsError> {
        let Some(value) = value else {
            return Ok(default);
        };
        let number = *value.get_ref();
        if allowed.contains(&number) {
            return Ok(number);
        }
        let (start, end) = (allowed.start(), allowed.end());
        let problem = format!("expected an integer from {start} to {end}, got {number}");
        Err(self.error(field, value, problem))
    }

    /// Checks that no two fields have the same value.
    pub(super) fn distinct<'v>(
        self,
        values: impl Iterator<Item = (String, &'v Spanned<String>)>,
    ) -> Result<(), SettingsError> {
        let mut seen: BTreeMap<&str, String> = BTreeMap::new();
        for (field, value) in values {
            if let Some(first) = seen.get(value.get_ref().as_str()) {
                let problem = format!(
                    "expected a unique value, got {:?} as in {first}",
                    value.get_ref()
                );
                return Err(self.error(&field, value, problem));
            }
            seen.insert(value.get_ref(), field);
        }
        Ok(())
    }

    pub(super) fn error<T>(
        self,
        field: &str,
        value: &Spanned<T>,
        problem: impl Display,
    ) -> SettingsError {
        self.error_at(field, value.span().start, problem)
    }

    pub(super) fn error_at(
        self,
        field: &str,
        offset: usize,
        problem: impl Display,
    ) -> SettingsError {
        let before = self.text.get(..offset).unwrap_or(self.text);
        SettingsError::Field {
            file: self.file.to_owned(),
            line: before.matches('\n').count() + 1,
            field: field.to_owned(),
            problem: problem.to_string(),
        }
    }
}
