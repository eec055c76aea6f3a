//! Runs the cases of the review that are scripts: `cases NAME FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! a case does the same without the disruption.

mod base64;
mod client;
mod http;
mod planned_stop;
mod record;
mod server;
mod slow_readers;
mod status_changed;
mod store;
mod vm;

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// The longest time that a case may take.
const RUN_TIMEOUT: Duration = Duration::from_secs(110);

/// What a case needs to run.
pub struct Setup {
    /// Where the case writes what was sent, answered and run.
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(case)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    match run(&name, &PathBuf::from(case)) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs a case; returns whether the rule was broken.
fn run(name: &str, case: &std::path::Path) -> io::Result<bool> {
    let folder = std::env::temp_dir().join(format!("figramp-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let setup = Setup {
        record: Record::create(case)?,
        folder: folder.clone(),
        has_trouble: std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0"),
    };
    let record = setup.record.clone();
    record.line(format!("case {name}, disruption: {}", setup.has_trouble));
    let worker = match name {
        "planned-stop" => thread::spawn(move || planned_stop::run(&setup)),
        "slow-readers" => thread::spawn(move || slow_readers::run(&setup)),
        "status-changed" => thread::spawn(move || status_changed::run(&setup)),
        _ => return Err(io::Error::other("no such case")),
    };
    let mut waited = Duration::ZERO;
    while !worker.is_finished() && waited < RUN_TIMEOUT {
        thread::sleep(Duration::from_millis(50));
        waited += Duration::from_millis(50);
    }
    let outcome = match worker.is_finished() {
        true => worker
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the case panicked"))),
        false => Err(io::Error::other("the case took too long")),
    };
    vm::kill_all();
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    match &outcome {
        Ok(true) => record.line("the rule was broken"),
        Ok(false) => record.line("the rule held"),
        Err(error) => record.line(format!("the case could not run: {error}")),
    }
    outcome
}
