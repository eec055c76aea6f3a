//! Runs a subcommand.

use std::process::ExitCode;

use super::args;
use super::check;
use super::demo;
use super::entry;
use super::query;
use super::serve;
use super::stand_in;
use super::CliError;
use super::Invocation;

/// Runs the subcommand given by the process arguments and returns its exit code.
pub fn run() -> ExitCode {
    let matches = args::command().get_matches();
    match run_invocation(Invocation::from(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("figramp: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_invocation(invocation: Invocation) -> Result<(), CliError> {
    match invocation {
        Invocation::Serve { settings } => serve::run(&settings),
        Invocation::Entry => entry::run(),
        Invocation::Check { files } => check::run(&files),
        Invocation::Status(query) => query::status(query),
        Invocation::Explain { request, query } => query::explain(&request, query),
        Invocation::Audit { after, query } => query::audit(after, query),
        Invocation::StandInPlatform { address, tickets } => stand_in::platform(address, &tickets),
        Invocation::StandInEndpoint(endpoint) => stand_in::endpoint(&endpoint),
        Invocation::Demo { request_count } => demo::run(request_count),
    }
}
