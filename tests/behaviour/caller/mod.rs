//! Tests of the `caller` behaviour.

mod error_table;
mod streaming;
pub mod support;
