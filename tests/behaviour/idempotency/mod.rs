//! Tests of the `idempotency` behaviour.
