//! Tests of the `sessions` behaviour.
