//! Tests of the `configuration` behaviour.
