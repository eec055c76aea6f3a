//! Tests of the `retry` behaviour.
