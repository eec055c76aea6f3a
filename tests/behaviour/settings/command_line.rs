//! The command line: `check`, the exit codes and the argument definitions.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use figramp::cli::command;

fn figramp(arguments: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_figramp"))
        .args(arguments)
        .output()
        .unwrap()
}

fn files(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let entries = fs::read_dir(root.join(folder)).unwrap();
    entries.map(|entry| entry.unwrap().path()).collect()
}

fn check(files: &[PathBuf]) -> Output {
    let mut arguments = vec![Path::new("check")];
    arguments.extend(files.iter().map(PathBuf::as_path));
    figramp(&arguments)
}

#[test]
fn the_examples_are_accepted_without_notes() {
    for (example, vm_count) in [("bracken-bloom", 13), ("consorcio", 15)] {
        let settings = files(&format!("{example}/settings"));
        assert_eq!(settings.len(), vm_count);
        let all = [settings, files(&format!("{example}/tickets"))].concat();
        let output = check(&all);
        let printed = String::from_utf8(output.stdout).unwrap();
        assert_eq!(output.status.code(), Some(0), "{printed}");
        assert!(!printed.contains("note:"), "{printed}");
    }
}

#[test]
fn a_bad_ticket_is_reported_with_its_line() {
    let folder = std::env::temp_dir().join(format!("figramp-check-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let good = files("bracken-bloom/tickets")
        .into_iter()
        .find(|file| file.ends_with("0005-client-accounts.json"))
        .unwrap();
    let text = fs::read_to_string(&good).unwrap();
    let bad = folder.join("bad.json");
    fs::write(&bad, text.replacen("\"weight\": 2", "\"weight\": 0", 1)).unwrap();
    let output = check(&[good, bad.clone()]);
    fs::remove_dir_all(&folder).unwrap();
    let line = 1 + text[..text.find("\"weight\": 2").unwrap()]
        .matches('\n')
        .count();
    let expected = format!(
        "{}:{line}: ticket 5: client_account \"wet-tropics-landscapes\": weight: expected an \
         integer from 1 to 1000000, got 0\nfigramp: 1 of 2 files are not accepted\n",
        bad.display()
    );
    assert_eq!(String::from_utf8(output.stderr).unwrap(), expected);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn the_exit_codes_distinguish_failures() {
    let as_paths = |words: &[&'static str]| -> Vec<&'static Path> {
        words.iter().map(|word| Path::new(*word)).collect()
    };
    let code = |words: &[&'static str]| figramp(&as_paths(words)).status.code();
    assert_eq!(code(&["check"]), Some(2));
    assert_eq!(code(&["status", "--vm", "127.0.0.1:1"]), Some(3));
    assert_eq!(code(&["audit", "--json", "--vm", "127.0.0.1:1"]), Some(3));
    assert_eq!(code(&["serve", "--settings", "missing.toml"]), Some(5));
    assert_eq!(
        code(&["stand-in", "engine", "--faults", "{\"typo\":1}"]),
        Some(2)
    );
}

#[test]
fn the_arguments_are_consistent() {
    command().debug_assert();
}
