//! Tests of the `caller` behaviour.

mod broken_answers;
mod error_table;
mod hang_up;
mod keys;
mod prompts;
mod shutdown;
pub mod support;
