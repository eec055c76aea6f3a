//! Tests of the HTTP interface for callers.

mod broken_answers;
mod disconnects;
mod error_table;
mod keys;
mod prompts;
mod shutdown;
pub mod support;
