//! Generates the Rust code of the Cap'n Proto schemas into `src/peer/generated`.
//!
//! Run from the root of the repository: `cargo run --manifest-path tools/schema/Cargo.toml`.
//! Needs the `capnp` compiler of Debian's package `capnproto`.

use std::fs;
use std::path::PathBuf;

const SCHEMA_DIR: &str = "schema";
const OUTPUT_DIR: &str = "src/peer/generated";

fn main() {
    let mut command = capnpc::CompilerCommand::new();
    command
        .src_prefix(SCHEMA_DIR)
        .output_path(OUTPUT_DIR)
        .default_parent_module(vec!["peer".into(), "generated".into()]);
    for file in schema_files() {
        command.file(file);
    }
    command.run().expect("the schemas compile");
}

fn schema_files() -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = fs::read_dir(SCHEMA_DIR)
        .expect("the schema directory is readable")
        .map(|entry| entry.expect("the directory entry is readable").path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "capnp"))
        .collect();
    files.sort();
    files
}
