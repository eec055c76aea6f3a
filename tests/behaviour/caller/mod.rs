//! Tests of the `caller` behaviour.

mod error_table;
