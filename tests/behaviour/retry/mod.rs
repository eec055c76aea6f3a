//! Tests of the `retry` behaviour.

mod retry_rules;
