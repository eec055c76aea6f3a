//! Tests of the `membership` behaviour.
