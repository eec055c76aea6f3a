//! Tests of idempotency records.

mod at_most_once;
mod duplicates;
mod fleet;
mod wire;
