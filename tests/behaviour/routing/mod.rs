//! Tests of the `routing` behaviour.
