//! Tests of the `caller` behaviour.

mod broken_answers;
mod error_table;
mod hang_up;
mod prompts;
mod shutdown;
mod streaming;
pub mod support;
