//! Tests of the `limits` behaviour.
