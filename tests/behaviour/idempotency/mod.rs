//! Tests of the `idempotency` behaviour.

mod at_most_once;
mod fleet;
mod repeats;
mod wire;
