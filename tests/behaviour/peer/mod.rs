//! Tests of the `peer` behaviour.
