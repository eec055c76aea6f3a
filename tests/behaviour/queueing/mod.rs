//! Tests of the `queueing` behaviour.
