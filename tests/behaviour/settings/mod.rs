//! Tests of the `settings` behaviour.
