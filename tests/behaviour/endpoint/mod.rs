//! Tests of the `endpoint` behaviour.
