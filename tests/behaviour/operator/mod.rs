//! Tests of the `operator` behaviour.
