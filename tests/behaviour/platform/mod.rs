//! Tests of the `platform` behaviour.
