//! `figramp check`.

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use super::ticket_file::TicketFile;
use super::CliError;
use crate::catalog::Catalog;
use crate::catalog::TicketNumber;
use crate::configuration::ConfigurationStore;
use crate::configuration::Ticket;
use crate::settings::Settings;

/// Checks files one by one and against each other, and prints the problems.
pub(super) fn run(files: &[PathBuf]) -> Result<(), CliError> {
    let mut checker = FileChecker::default();
    let mut refused_count = 0;
    for file in files {
        match checker.check(file) {
            Ok(()) => println!("{}: accepted", file.display()),
            Err(problem) => {
                refused_count += 1;
                eprintln!("{problem}");
            }
        }
    }
    for name in checker.unpublished_references() {
        println!("note: {name:?} refers to an object that none of the tickets publishes");
    }
    if refused_count > 0 {
        return Err(CliError::CheckFailed {
            refused_count,
            file_count: files.len(),
        });
    }
    Ok(())
}

/// Checks files and records the values that must be unique across all of them.
#[derive(Debug, Default)]
struct FileChecker {
    tickets: BTreeMap<TicketNumber, String>,
    vm_values: BTreeMap<String, String>,
    store: ConfigurationStore,
}

impl FileChecker {
    fn check(&mut self, path: &Path) -> Result<(), String> {
        match path.extension().and_then(|extension| extension.to_str()) {
            Some("toml") => self.check_settings(path),
            Some("json") => self.check_ticket(path),
            _ => Err(format!(
                "{}: expected a name that ends in .toml (settings) or .json (change ticket)",
                path.display()
            )),
        }
    }

    /// Returns the names of objects that refer to an object that no ticket publishes.
    fn unpublished_references(&self) -> Vec<String> {
        let (_, names) = self.store.build_catalog(&Catalog::default());
        names.iter().map(ToString::to_string).collect()
    }

    fn check_settings(&mut self, path: &Path) -> Result<(), String> {
        let settings = Settings::load(path).map_err(|error| error.to_string())?;
        let file = path.display().to_string();
        let spec = &settings.vm.spec;
        let values = [
            ("vm.name", settings.vm.name.to_string()),
            ("vm.caller_address", spec.caller_address.to_string()),
            ("vm.peer_address", spec.peer_address.to_string()),
            ("vm.operator_address", spec.operator_address.to_string()),
        ];
        for (field, value) in values {
            if let Some(other) = self.vm_values.insert(value.clone(), file.clone()) {
                return Err(format!(
                    "{file}: {field}: expected a unique value, got {value:?} as in {other}"
                ));
            }
        }
        Ok(())
    }

    fn check_ticket(&mut self, path: &Path) -> Result<(), String> {
        let ticket_file = TicketFile::load(path).map_err(|error| error.to_string())?;
        let ticket = ticket_file.check().map_err(|error| error.to_string())?;
        let file = ticket_file.file;
        if let Some(other) = self.tickets.insert(ticket.number, file.clone()) {
            return Err(format!(
                "{file}: number: expected a unique number, got {} as in {other}",
                ticket.number
            ));
        }
        self.merge(ticket);
        Ok(())
    }

    fn merge(&mut self, ticket: Ticket) {
        for record in ticket.records {
            self.store.merge(record);
        }
    }
}
