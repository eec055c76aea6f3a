//! The command line: arguments, commands and their errors.

mod args;
mod check;
mod cli_error;
mod demo;
mod entry;
mod invocation;
mod log_setup;
mod query;
mod run;
mod runtime;
mod serve;
mod stand_in;
mod ticket_file;

pub use args::command;
pub use cli_error::CliError;
pub use invocation::Invocation;
pub use invocation::OutputFormat;
pub use invocation::Query;
pub use invocation::StandInEndpoint;
pub use invocation::StandInKind;
pub use run::run;
