//! The `figramp` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    figramp::cli::run()
}
